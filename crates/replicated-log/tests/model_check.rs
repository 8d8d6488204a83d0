//! All interleavings of three members within small bounds, with the real replica.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hasher};

use replicated_log::prelude::*;

/// Election timeout of the model; only its passing matters.
const TIMEOUT_MS: Millis = 10;

/// A source that always draws 0: which member runs is explored, not drawn.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Zero;

impl RandomSource for Zero {
    fn below(&mut self, _: u64) -> u64 {
        0
    }
}

/// How often each kind of event may still happen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Budget {
    timeouts: u32,
    proposals: u32,
    crashes: u32,
    duplicates: u32,
    /// Whether entries travel; without them only elections are explored.
    appends: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Member {
    replica: Replica<Zero>,
    storage: MemoryLogStorage,
    clock: Millis,
    /// Whether its leader fell silent long ago.
    quiet: bool,
}

/// Everything that decides what can follow, and what was seen so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Member>,
    /// Messages on their way, sorted; each may arrive at any time or never.
    network: Vec<Message>,
    budget: Budget,
    /// Whether a member has run.
    started: bool,
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, (Term, LogEntryBody)>,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Timeout(usize),
    Deliver(usize),
    Duplicate(usize),
    Sync(usize),
    Crash(usize),
    Propose(usize),
}

/// A wrong executor, planted to see that the search finds what it breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    ForgetsVotes,
    AcksEarly,
}

fn start(id: NodeId, state: RestoredState, clock: Millis) -> Replica<Zero> {
    let settings = LogSettings::from_bounds(TIMEOUT_MS, 1 << 10);
    Replica::new(settings, 7, id, state, clock, Zero)
}

fn initial(budget: Budget) -> State {
    let home = |id| MemberAddress::new(format!("m{id}"), "a");
    let founding = RestoredState::founding(Membership::of_voters((1..=3).map(|id| (id, home(id)))));
    let members = (1..=3).map(|id| Member {
        replica: start(id, founding.clone(), 0),
        storage: MemoryLogStorage::new(founding.clone()),
        clock: 0,
        quiet: false,
    });
    State {
        members: members.collect(),
        network: Vec::new(),
        budget,
        started: false,
        leaders: BTreeMap::new(),
        committed: BTreeMap::new(),
        violation: None,
    }
}

impl State {
    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (place, member) in self.members.iter().enumerate() {
            // All start alike, so that the first to run may be the first of them.
            if self.budget.timeouts > 0 && (place == 0 || self.started) {
                actions.push(Action::Timeout(place));
            }
            if self.budget.crashes > 0 {
                actions.push(Action::Crash(place));
            }
            if member.storage.unsynced() > 0 {
                actions.push(Action::Sync(place));
            }
            if self.budget.proposals > 0 && member.replica.is_leader() {
                actions.push(Action::Propose(place));
            }
        }
        for place in 0..self.network.len() {
            let seen_before = place > 0 && self.network[place] == self.network[place - 1];
            if !seen_before {
                actions.push(Action::Deliver(place));
                if self.budget.duplicates > 0 {
                    actions.push(Action::Duplicate(place));
                }
            }
        }
        actions
    }

    fn after(&self, action: Action, planted: Planted) -> Self {
        let mut next = self.clone();
        match action {
            Action::Timeout(place) => {
                next.budget.timeouts -= 1;
                next.started = true;
                next.members[place].clock += 2 * TIMEOUT_MS;
                next.members[place].quiet = true;
                next.step(place, Input::Tick { wall_ms: 0 }, planted);
            }
            Action::Deliver(place) => {
                let message = next.network.remove(place);
                next.deliver(message, planted);
            }
            Action::Duplicate(place) => {
                next.budget.duplicates -= 1;
                let message = next.network[place].clone();
                next.deliver(message, planted);
            }
            Action::Sync(place) => {
                if let Some(ticket) = next.members[place].storage.sync() {
                    next.step(place, Input::Persisted { ticket }, planted);
                }
            }
            Action::Crash(place) => {
                next.budget.crashes -= 1;
                next.crash(place, planted);
            }
            Action::Propose(place) => {
                next.budget.proposals -= 1;
                let command = vec![place as u8];
                next.step(place, Input::Propose { token: 0, command }, planted);
            }
        }
        next.forget_dead_messages();
        next
    }

    /// Votes are asked of members whose leader fell silent long ago: safety must
    /// not rest on the lease.
    fn deliver(&mut self, message: Message, planted: Planted) {
        let place = message.to as usize - 1;
        let asks =
            matches!(message.body, MessageBody::Vote { .. } | MessageBody::PreVote { .. });
        let member = &mut self.members[place];
        if asks && !member.quiet && !member.replica.is_leader() {
            member.clock += 2 * TIMEOUT_MS;
            member.quiet = true;
        }
        member.quiet &= !matches!(message.body, MessageBody::Append(_));
        self.step(place, Input::Message(message), planted);
    }

    fn crash(&mut self, place: usize, planted: Planted) {
        let member = &mut self.members[place];
        member.storage.crash();
        let mut state = member.storage.synced_state().clone();
        if planted == Planted::ForgetsVotes {
            state.hard_state.voted_for = None;
            member.storage = MemoryLogStorage::new(state.clone());
        }
        member.quiet = false;
        member.replica = start(place as NodeId + 1, state, member.clock);
    }

    fn step(&mut self, place: usize, input: Input, planted: Planted) {
        let member = &mut self.members[place];
        let effects = member.replica.step(member.clock, input);
        let counters = member.replica.take_counters();
        if counters.illegal_transitions + counters.committed_conflicts > 0 {
            self.violation = Some("internal");
        }
        let mut early = None;
        for effect in effects {
            match effect {
                Effect::Persist(request) => {
                    early = Some(request.ticket);
                    self.members[place].storage.stage(request);
                }
                Effect::Send { message, .. } => self.network.push(message),
                Effect::BecameLeader { term } => self.check_leader(place, term),
                Effect::Commit { entries } => self.check_commit(entries),
                _ => {}
            }
        }
        if !self.budget.appends {
            self.network.retain(|m| !matches!(m.body, MessageBody::Append(_)));
        }
        self.network.sort_by_cached_key(Message::to_bytes);
        if let Some(ticket) = early.filter(|_| planted == Planted::AcksEarly) {
            self.step(place, Input::Persisted { ticket }, planted);
        }
    }

    fn check_leader(&mut self, place: usize, term: Term) {
        let id = place as NodeId + 1;
        if *self.leaders.entry(term).or_insert(id) != id {
            self.violation = Some("election safety");
        }
        let log = self.members[place].replica.log();
        let lacks = |(index, (t, _)): (&Index, &(Term, _))| *t < term && log.term_at(*index) != Some(*t);
        if self.committed.iter().any(lacks) {
            self.violation = Some("leader completeness");
        }
    }

    fn check_commit(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let seen = (entry.term, entry.body);
            if *self.committed.entry(entry.index).or_insert_with(|| seen.clone()) != seen {
                self.violation = Some("state machine safety");
            }
        }
    }

    /// Replies of a term older than the receiver's synced one do nothing, now or
    /// later; leaving them out loses no behaviour.
    fn forget_dead_messages(&mut self) {
        let members = &self.members;
        self.network.retain(|m| {
            let synced = members[m.to as usize - 1].storage.synced_state().hard_state.term;
            match m.body {
                MessageBody::PreVoteReply { next_term, granted } => {
                    next_term > synced && (granted || m.term > synced)
                }
                MessageBody::VoteReply { granted } => m.term > synced || granted && m.term == synced,
                MessageBody::AppendAck(_) => m.term >= synced,
                _ => true,
            }
        });
    }

    /// Member 1 leads, its first entry is committed everywhere, nothing travels.
    fn settled(budget: Budget) -> Self {
        let script = Budget { timeouts: 1, proposals: 0, crashes: 0, duplicates: 0, appends: true };
        let mut state = initial(script).after(Action::Timeout(0), Planted::Nothing);
        while let Some(action) = state.actions().first().copied() {
            state = state.after(action, Planted::Nothing);
        }
        assert_eq!(state.leaders.get(&1), Some(&1));
        assert!(state.members.iter().all(|m| m.replica.commit_index() == 1));
        Self { budget, ..state }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Visits every state in reach; says how many there are, how many had a leader
/// elected and an entry committed, and the first violation.
fn search(first: State, planted: Planted, limit: usize) -> (usize, usize, usize, Option<&'static str>) {
    let mut seen = HashSet::from([first.fingerprint()]);
    let mut open = vec![first];
    let (mut led, mut committed) = (0, 0);
    while let Some(state) = open.pop() {
        led += usize::from(!state.leaders.is_empty());
        committed += usize::from(!state.committed.is_empty());
        for action in state.actions() {
            let next = state.after(action, planted);
            if next.violation.is_some() {
                return (seen.len(), led, committed, next.violation);
            }
            if seen.insert(next.fingerprint()) {
                open.push(next);
            }
        }
        assert!(seen.len() <= limit, "more than {limit} states: the bounds are too wide");
    }
    (seen.len(), led, committed, None)
}

fn report(name: &str, found: (usize, usize, usize, Option<&'static str>)) {
    let (states, led, committed, violation) = found;
    println!("{name}: {states} states, {led} with a leader, {committed} with a commit: {violation:?}");
}

#[test]
fn trial() {
    let env: Vec<u32> = std::env::var("MC").unwrap().split(' ').map(|x| x.parse().unwrap()).collect();
        let began = std::time::Instant::now();
        let b = Budget { timeouts: env[0], proposals: env[1], crashes: env[2], duplicates: env[3], appends: env[4]==1 };
        let r = std::panic::catch_unwind(|| search(if env[5]==1 { State::settled(b) } else { initial(b) }, Planted::Nothing, 3_000_000));
        if let Ok(r) = r { report(&format!("{env:?}"), r); }
        println!("{env:?} {:?}", began.elapsed());
}
