//! Bytes from anywhere: a value or a typed error, never a panic.

use replicated_log::prelude::*;

fn wire_message(seed: u64) -> Message {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut n = || random.below(1 << 20);
    let membership = Membership {
        voters: (0..n() % 4).map(|id| (id, MemberAddress::new("a:1", "s"))).collect(),
        learners: (4..4 + n() % 2).map(|id| (id, MemberAddress::new("b:2", "t"))).collect(),
        retired: (8..8 + n() % 3).collect(),
    };
    let bytes: Vec<u8> = (0..n() % 50).map(|b| b as u8).collect();
    let bodies = [LogEntryBody::Noop, LogEntryBody::Command(bytes.clone()), LogEntryBody::Membership(membership.clone())];
    let entries = bodies.into_iter().enumerate();
    let entries = entries.map(|(i, body)| LogEntry { term: 3, index: i as u64, log_time: 9, body });
    let entries: Vec<_> = entries.take(1 + n() as usize % 3).collect();
    let conflict = (n() % 2 == 0).then_some(ConflictHint { prev_index: 4, term: Some(2), index: 1 });
    let head = Snapshot { index: n(), term: n(), log_time: n(), membership, bytes: Vec::new() };
    let body = match seed % 9 {
        0 => MessageBody::PreVote { next_term: n(), last_index: n(), last_term: n() },
        1 => MessageBody::PreVoteReply { next_term: n(), granted: n() % 2 == 0 },
        2 => MessageBody::Vote { last_index: n(), last_term: n(), transfer: n() % 2 == 0 },
        3 => MessageBody::VoteReply { granted: n() % 2 == 0 },
        4 => {
            let (prev_index, prev_term, commit, sent_at) = (n(), n(), n(), n());
            MessageBody::Append(Append { prev_index, prev_term, commit, sent_at, entries })
        }
        5 => {
            let (sent_at, match_index, wall_ms) = (n(), n(), Some(n()));
            MessageBody::AppendAck(AppendAck { sent_at, match_index, conflict, wall_ms })
        }
        6 => {
            let (offset, total, sent_at) = (n(), n(), n());
            MessageBody::SnapshotChunk(SnapshotChunk { head, offset, total, sent_at, bytes })
        }
        7 => {
            let (index, received, sent_at) = (n(), n(), n());
            MessageBody::SnapshotAck(SnapshotAck { index, received, sent_at, wall_ms: None })
        }
        _ => MessageBody::TimeoutNow,
    };
    Message { cluster: n(), from: n(), to: n(), term: n(), body }
}

#[test]
fn any_bytes_give_a_message_or_a_typed_error() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        if let Ok(message) = Message::from_bytes(bytes) {
            let again = Message::from_bytes(&message.to_bytes());
            assert_eq!(again.ok().as_ref(), Some(&message));
        }
    });
}

#[test]
fn any_bytes_behind_a_sound_version_give_a_message_or_a_typed_error() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        let mut framed = vec![WIRE_VERSION];
        framed.extend_from_slice(bytes);
        if let Ok(message) = Message::from_bytes(&framed) {
            assert_eq!(Message::from_bytes(&message.to_bytes()).ok(), Some(message));
        }
    });
}

#[test]
fn messages_round_trip_and_cut_ones_do_not_pass() {
    bolero::check!().with_type().for_each(|(seed, cut): &(u64, u16)| {
        let message = wire_message(*seed);
        let bytes = message.to_bytes();
        assert_eq!(Message::from_bytes(&bytes).ok(), Some(message));
        let cut = usize::from(*cut) % bytes.len();
        assert!(Message::from_bytes(&bytes[..cut]).is_err());
        let longer = [bytes.as_slice(), &[0]].concat();
        let error = Message::from_bytes(&longer);
        assert!(matches!(error, Err(MessageError::TrailingBytes { count: 1 })));
    });
}

#[test]
fn a_replica_stands_any_message() {
    bolero::check!().with_type().for_each(|(seeds, garbage): &(Vec<u64>, Vec<u8>)| {
        let home = |id| (id, MemberAddress::new("a:1", "s"));
        let founding = RestoredState::founding(Membership::of_voters((1..=3).map(home)));
        let random = ChaCha8Rng::seed_from_u64(1);
        let settings = LogSettings::from_bounds(100, 256);
        let mut replica = Replica::new(settings, 7, 1, founding, 0, random);
        for (place, seed) in seeds.iter().enumerate() {
            // A sender of our cluster, with numbers that may make no sense at all.
            let (from, term) = (2 + seed % 2, seed % 5);
            let message = Message { cluster: 7, from, to: 1, term, ..wire_message(*seed) };
            let now = place as u64 * (seed % 300);
            for effect in replica.step(now, Input::Wire(message.to_bytes())) {
                if let Effect::Persist(request) = effect {
                    replica.step(now, Input::Persisted { ticket: request.ticket });
                }
            }
            replica.step(now, Input::Tick { wall_ms: now });
        }
        replica.step(0, Input::Wire(garbage.clone()));
        assert!(replica.commit_index() <= replica.last_index());
        assert!(replica.durable_index() <= replica.last_index());
    });
}

#[test]
fn any_record_gives_a_value_or_a_typed_error() {
    bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
        let _ = StoredRecord::decode::<LogEntry>(bytes).map_err(|e| e.to_string());
        let _ = StoredRecord::decode::<HardState>(bytes).map_err(|e| e.to_string());
        let _ = StoredRecord::decode::<(Snapshot, u64)>(bytes).map_err(|e| e.to_string());
    });
}

#[test]
fn records_round_trip_and_one_flipped_bit_is_seen() {
    bolero::check!().with_type().for_each(|(command, term, bit): &(Vec<u8>, u64, u16)| {
        let body = LogEntryBody::Command(command.clone());
        let entry = LogEntry { term: *term, index: 7, log_time: 3, body };
        let mut bytes = StoredRecord::encode(&entry);
        assert_eq!(StoredRecord::decode::<LogEntry>(&bytes).ok(), Some(entry));
        let bit = usize::from(*bit) % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let error = StoredRecord::decode::<LogEntry>(&bytes);
        assert!(matches!(error, Err(StorageError::BadChecksum { .. } | StorageError::UnknownVersion { .. })));
    });
}
