//! Gangs whose members end together, on workers that know nothing of each other.

use crate::prelude::*;

/// What befalls a gang as it ends.
#[derive(Clone, Copy, Debug)]
pub struct GangTear {
    /// How long the worker that dies is away.
    pub away_ms: Millis,
    /// How long the other gateways are cut off.
    pub for_ms: Millis,
}

/// How long after the gang's end a worker dies; until then nothing that it sends arrives.
const DEATH_AFTER_MS: Millis = 1;

impl Simulation {
    /// Looks whether a gang is over.
    pub(crate) fn gang_due(&mut self, run: GangRun) {
        let ends = self.gangs.look(self.now, run);
        if ends.iter().any(|end| end.2 == Outcome::Succeeded) {
            self.tear(&ends);
        }
        self.members_end(ends);
    }

    /// Members of a gang end wherever they are.
    pub(crate) fn members_end(&mut self, ends: Vec<MemberEnd>) {
        for (worker, attempt, outcome) in ends {
            self.worker(worker, WorkerInput::MemberEnds { attempt, outcome });
        }
    }

    /// A worker dies before it can tell of its gang's good end, and the gateways of the others can't tell for a while.
    fn tear(&mut self, ends: &[MemberEnd]) {
        let Some(GangTear { away_ms, for_ms }) = self.gang_to_tear else { return };
        let holders: BTreeMap<usize, usize> = ends.iter().filter_map(|end| Some((end.0, self.holder(end.0)?))).collect();
        let Some((&worker, &holder)) = holders.first_key_value() else { return };
        let others: BTreeSet<usize> = holders.values().copied().filter(|gateway| *gateway != holder).collect();
        if others.is_empty() {
            return;
        }
        self.gang_to_tear = None;
        for gateway in 0..self.gateways.len() {
            self.network.cut(Node::Worker(worker), Node::Gateway(gateway), self.now + DEATH_AFTER_MS);
        }
        self.agenda.set(self.now + DEATH_AFTER_MS, Occurrence::Fault(Fault::WorkerDies { worker, away_ms }));
        for gateway in others {
            self.fault(Fault::GatewayCutFromCore { gateway, one_way: false, for_ms });
        }
    }

    /// The gateway that holds a worker, as the elected scheduler has it.
    fn holder(&self, worker: usize) -> Option<usize> {
        let leader = self.schedulers[self.leader()].core.as_ref()?;
        let name = &self.workers[worker].model.identity().name;
        let gateway = leader.state().worker(name)?.1.gateway.as_deref()?;
        (0..self.gateways.len()).find(|number| format!("g{number}") == gateway)
    }
}
