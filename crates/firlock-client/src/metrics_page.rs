/// The samples of a Prometheus text page.
///
/// ```
/// use firlock_client::MetricsPage;
/// let p = MetricsPage::read("# HELP x\ncalls_shed{limit=\"a b\"} 3\ncalls_shed{limit=\"c\"} 4 1700\nbytes 2e3\n");
/// assert_eq!(p.sum(|name| name == "calls_shed"), 7.0);
/// assert_eq!(p.sum(|name| name == "bytes"), 2000.0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsPage {
    /// (name, labels as written, value).
    pub samples: Vec<(String, String, f64)>,
}

impl MetricsPage {
    /// Reads a page; lines that are no samples are left out.
    pub fn read(text: &str) -> Self {
        let samples = text.lines().filter(|l| !l.starts_with('#')).filter_map(Self::sample).collect();
        MetricsPage { samples }
    }

    /// One line.
    fn sample(line: &str) -> Option<(String, String, f64)> {
        let (name, labels, rest) = match line.find('{') {
            Some(i) => {
                let k = line.rfind('}')?;
                (&line[..i], line.get(i + 1..k)?, &line[k + 1..])
            }
            None => {
                let (n, r) = line.split_once(' ')?;
                (n, "", r)
            }
        };
        let value = rest.split_whitespace().next()?.parse().ok()?;
        Some((name.to_owned(), labels.to_owned(), value))
    }

    /// The sum over all samples whose name fits.
    pub fn sum(&self, fits: impl Fn(&str) -> bool) -> f64 {
        self.samples.iter().filter(|(n, ..)| fits(n)).map(|s| s.2).sum()
    }
}
