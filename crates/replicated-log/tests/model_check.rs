//! All interleavings of three members within small bounds, with the real replica.

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
    /// Runs without the question before; they spare the search its messages.
    campaigns: u32,
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
    members: Vec<Arc<Member>>,
    /// Messages on their way, sorted; each may arrive at any time or never.
    network: Vec<Message>,
    budget: Budget,
    /// Whether a member has run.
    started: bool,
    leaders: BTreeMap<Term, NodeId>,
    /// Term and content of what was applied, and the term that committed it.
    committed: BTreeMap<Index, (Term, LogEntryBody, Term)>,
    violation: Option<&'static str>,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Timeout(usize),
    Campaign(usize),
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
    let members = (1..=3).map(|id| {
        let replica = start(id, founding.clone(), 0);
        let storage = MemoryLogStorage::new(founding.clone());
        Arc::new(Member { replica, storage, clock: 0, quiet: false })
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
            // All start alike: who runs first is a matter of names.
            if self.budget.timeouts > 0 && (place == 0 || self.started) {
                actions.push(Action::Timeout(place));
            }
            let follows = member.replica.role() == Role::Follower;
            let first = if self.leaders.is_empty() { 0 } else { 1 };
            if self.budget.campaigns > 0 && follows && (place == first || self.started) {
                actions.push(Action::Campaign(place));
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
                let member = Arc::make_mut(&mut next.members[place]);
                member.clock += 2 * TIMEOUT_MS;
                member.quiet = true;
                next.step(place, Input::Tick { wall_ms: 0 }, planted);
            }
            Action::Campaign(place) => {
                next.started = true;
                next.budget.campaigns -= 1;
                next.campaign(place, planted);
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
                if let Some(ticket) = Arc::make_mut(&mut next.members[place]).storage.sync() {
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

    /// As if the leader it knows, or anyone, had handed over to it.
    fn campaign(&mut self, place: usize, planted: Planted) {
        let replica = &self.members[place].replica;
        let (to, term) = (place as NodeId + 1, replica.term());
        let from = replica.leader_hint().unwrap_or(to % 3 + 1);
        let message = Message { cluster: 7, from, to, term, body: MessageBody::TimeoutNow };
        self.step(place, Input::Message(message), planted);
    }

    /// Votes are asked of members whose leader fell silent long ago: safety must
    /// not rest on the lease.
    fn deliver(&mut self, message: Message, planted: Planted) {
        let place = message.to as usize - 1;
        let asks = matches!(message.body, MessageBody::Vote { .. } | MessageBody::PreVote { .. });
        let member = Arc::make_mut(&mut self.members[place]);
        if asks && !member.quiet && !member.replica.is_leader() {
            member.clock += 2 * TIMEOUT_MS;
            member.quiet = true;
        }
        member.quiet &= !matches!(message.body, MessageBody::Append(_));
        self.step(place, Input::Message(message), planted);
    }

    fn crash(&mut self, place: usize, planted: Planted) {
        let member = Arc::make_mut(&mut self.members[place]);
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
        let member = Arc::make_mut(&mut self.members[place]);
        let effects = member.replica.step(member.clock, input);
        let counters = member.replica.take_counters();
        if counters.illegal_transitions + counters.committed_conflicts > 0 {
            self.violation = Some("internal");
        }
        let (mut early, before) = (None, self.network.len());
        for effect in effects {
            match effect {
                Effect::Persist(request) => {
                    early = Some(request.ticket);
                    Arc::make_mut(&mut self.members[place]).storage.stage(request);
                }
                Effect::Send { message, .. } => self.network.push(message),
                Effect::BecameLeader { term } => self.check_leader(place, term),
                Effect::Commit { entries } => self.check_commit(place, entries),
                _ => {}
            }
        }
        if !self.budget.appends {
            self.network.retain(|m| !matches!(m.body, MessageBody::Append(_)));
        }
        if self.network.len() > before {
            self.network.sort_by_cached_key(Message::to_bytes);
        }
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
        let lacks = |(index, (entry_term, _, committed_in)): (&Index, &(Term, _, Term))| {
            *committed_in < term && log.term_at(*index) != Some(*entry_term)
        };
        if self.committed.iter().any(lacks) {
            self.violation = Some("leader completeness");
        }
    }

    fn check_commit(&mut self, place: usize, entries: Vec<LogEntry>) {
        let term = self.members[place].replica.term();
        for entry in entries {
            let first = self.committed.entry(entry.index);
            let first = first.or_insert_with(|| (entry.term, entry.body.clone(), term));
            if (first.0, &first.1) != (entry.term, &entry.body) {
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
                MessageBody::PreVoteReply { next_term, granted } => next_term > synced && (granted || m.term > synced),
                MessageBody::VoteReply { granted } => m.term > synced || granted && m.term == synced,
                MessageBody::AppendAck(_) => m.term >= synced,
                _ => true,
            }
        });
    }

    /// Member 1 leads, its first entry is committed everywhere, nothing travels.
    fn settled(budget: Budget) -> Self {
        let script = Budget { timeouts: 1, campaigns: 0, proposals: 0, crashes: 0, duplicates: 0, appends: true };
        let mut state = initial(script).after(Action::Timeout(0), Planted::Nothing);
        while let Some(action) = state.actions().first().copied() {
            state = state.after(action, Planted::Nothing);
        }
        assert_eq!(state.leaders.get(&1), Some(&1));
        assert!(state.members.iter().all(|m| m.replica.commit_index() == 1));
        // The first to run against it is member 2.
        Self { budget, started: false, ..state }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        self.hash(&mut hasher);
        std::hash::Hasher::finish(&hasher)
    }
}

/// Visits every state in reach; says how many there are, how many had a leader
/// elected and an entry committed, and the first violation.
fn search(first: State, planted: Planted, limit: usize) -> (usize, usize, usize, Option<&'static str>) {
    let mut seen = BTreeSet::from([first.fingerprint()]);
    // A fault is found nearest first; a whole search needs less memory depth first.
    let mut open = VecDeque::from([first]);
    let next_of = |open: &mut VecDeque<State>| match planted {
        Planted::Nothing => open.pop_back(),
        _ => open.pop_front(),
    };
    let (mut led, mut committed) = (0, 0);
    while let Some(state) = next_of(&mut open) {
        led += usize::from(!state.leaders.is_empty());
        committed += usize::from(!state.committed.is_empty());
        for action in state.actions() {
            let next = state.after(action, planted);
            if next.violation.is_some() {
                return (seen.len(), led, committed, next.violation);
            }
            if seen.insert(next.fingerprint()) {
                open.push_back(next);
            }
        }
        assert!(seen.len() <= limit, "more than {limit} states: the bounds are too wide");
    }
    (seen.len(), led, committed, None)
}

/// Searches it all and wants no violation; says how many states had a leader and
/// how many an entry committed.
fn holds(name: &str, first: State) -> (usize, usize) {
    let (states, led, committed, violation) = search(first, Planted::Nothing, 1_000_000);
    println!("{name}: {states} states, {led} with a leader, {committed} with a commit");
    assert_eq!(violation, None);
    (led, committed)
}

const NONE: Budget = Budget { timeouts: 0, campaigns: 0, proposals: 0, crashes: 0, duplicates: 0, appends: false };

#[test]
fn elections_with_two_timeouts() {
    let found = holds("two timeouts", initial(Budget { timeouts: 2, ..NONE }));
    assert!(found.0 > 0);
}

#[test]
fn elections_with_two_timeouts_and_a_crash() {
    let budget = Budget { timeouts: 2, crashes: 1, ..NONE };
    assert!(holds("two timeouts, a crash", initial(budget)).0 > 0);
}

#[test]
fn elections_with_three_runs_or_a_doubled_message() {
    let found = holds("three runs", initial(Budget { campaigns: 3, ..NONE }));
    assert!(found.0 > 0);
    let budget = Budget { campaigns: 2, crashes: 1, duplicates: 1, ..NONE };
    let found = holds("two runs, a crash, a doubled message", initial(budget));
    assert!(found.0 > 0);
}

#[test]
fn a_first_term_with_a_crash() {
    let budget = Budget { timeouts: 1, crashes: 1, appends: true, ..NONE };
    assert!(holds("a first term, a crash", initial(budget)).1 > 0);
}

#[test]
fn a_proposal_across_a_change_of_leader() {
    let budget = Budget { campaigns: 1, proposals: 1, appends: true, ..NONE };
    assert!(holds("a proposal, a run", State::settled(budget)).1 > 0);
    let budget = Budget { proposals: 1, crashes: 1, duplicates: 1, appends: true, ..NONE };
    assert!(holds("a proposal, a crash, a doubled message", State::settled(budget)).1 > 0);
}

#[test]
fn the_search_finds_planted_faults() {
    let budget = Budget { campaigns: 2, crashes: 1, ..NONE };
    let found = search(initial(budget), Planted::ForgetsVotes, 1_000_000);
    println!("forgets votes: {found:?}");
    assert_eq!(found.3, Some("election safety"));

    let budget = Budget { campaigns: 1, proposals: 1, crashes: 1, appends: true, ..NONE };
    let found = search(State::settled(budget), Planted::AcksEarly, 1_000_000);
    println!("acknowledges before the sync: {found:?}");
    assert!(matches!(found.3, Some("leader completeness" | "state machine safety")));
}
