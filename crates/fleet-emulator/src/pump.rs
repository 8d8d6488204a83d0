use crate::prelude::*;

/// Bytes taken at once.
const CHUNK: usize = 32 * 1024;
/// Most bytes under way on a slowed link, for each channel and direction.
const UNDER_WAY: usize = 32 * CHUNK;

/// Carries bytes from `reader` to `writer` as the link allows, and closes `writer` once `reader` has ended.
///
/// While the link is cut nothing is read nor written: what the sender still gets rid of waits in the system's
/// buffers, and passes once the link is whole again, the closing included.
pub async fn pump<R, W>(mut reader: R, mut writer: W, link: Arc<Link>) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut effects = link.effect();
    let mut buf = vec![0; CHUNK];
    let mut line: VecDeque<(Instant, Bytes)> = VecDeque::new();
    let (mut held, mut ended, mut last_due) = (0, false, Instant::now());
    loop {
        let e = *effects.borrow_and_update();
        if e.cut {
            if effects.changed().await.is_err() {
                return Ok(());
            }
            continue;
        }
        if ended && line.is_empty() {
            return writer.shutdown().await;
        }
        let direct = line.is_empty() && !e.slows();
        let due = line.front().map_or(last_due, |(t, _)| *t);
        tokio::select! {
            biased;
            c = effects.changed() => {
                if c.is_err() {
                    return Ok(());
                }
            }
            _ = tokio::time::sleep_until(due), if !line.is_empty() => {
                if let Some((_, b)) = line.pop_front() {
                    writer.write_all(&b).await?;
                    held -= b.len();
                    link.count(b.len());
                }
            }
            n = reader.read(&mut buf), if !ended && held < UNDER_WAY => {
                let n = n?;
                ended = n == 0;
                if ended {
                    continue;
                }
                if direct {
                    writer.write_all(&buf[..n]).await?;
                    link.count(n);
                    continue;
                }
                let now = Instant::now();
                let mut t = now + Duration::from_millis(e.delay_ms);
                if e.bytes_per_s > 0 {
                    t = t.max(last_due) + Duration::from_secs_f64(n as f64 / e.bytes_per_s as f64);
                }
                last_due = t.max(last_due);
                line.push_back((last_due, Bytes::copy_from_slice(&buf[..n])));
                held += n;
            }
        }
    }
}
