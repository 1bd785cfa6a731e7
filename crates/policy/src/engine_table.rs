//! The table of engines by number, as the endpoint list has them. The only decision made here is which
//! entries of the list mean a new process.

use crate::engine::Engine;
use crate::events::{EndpointUpdate, EngineEntry};
use crate::ids::EngineId;
use crate::outlier_detection::OutlierDetector;
use crate::settings::Settings;
use crate::snapshot::StoredPolicy;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::Timestamp;
use std::ops::{Index, IndexMut};

/// All engines that have ever been on the endpoint list, indexed by number.
#[derive(Clone, Default)]
pub(crate) struct EngineTable {
    engines: Vec<Engine>,
    /// Cores of all ready engines.
    ready_cores: f64,
}

impl EngineTable {
    /// Cores of all ready engines.
    pub(crate) fn ready_cores(&self) -> f64 {
        self.ready_cores
    }

    pub(crate) fn len(&self) -> usize {
        self.engines.len()
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&Engine> {
        self.engines.get(id.0 as usize)
    }

    /// Every engine with its number, in the order of the numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &Engine)> {
        self.engines.iter().enumerate().map(|(index, engine)| (EngineId(index as u32), engine))
    }

    /// Like [`iter`](Self::iter), with mutable engines.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (EngineId, &mut Engine)> {
        self.engines.iter_mut().enumerate().map(|(index, engine)| (EngineId(index as u32), engine))
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn apply_endpoint_update(
        &mut self,
        now: Timestamp,
        kind: EndpointUpdate,
        entries: &[EngineEntry],
        settings: &Settings,
        outliers: &mut OutlierDetector,
        random: &mut SplitMix64,
    ) {
        // An engine that a complete list omits is not ready.
        if kind != EndpointUpdate::Changes {
            self.engines.iter_mut().for_each(Engine::unlist);
        }
        for entry in entries {
            self.apply_entry(now, entry, settings, outliers, random);
        }
        let ready = self.engines.iter().filter(|engine| engine.is_listed());
        self.ready_cores = ready.map(Engine::cores).sum();
    }

    fn apply_entry(
        &mut self,
        now: Timestamp,
        entry: &EngineEntry,
        settings: &Settings,
        outliers: &mut OutlierDetector,
        random: &mut SplitMix64,
    ) {
        let index = entry.engine.0 as usize;
        self.engines.resize_with(self.engines.len().max(index + 1), Engine::default);
        let is_new_process = self.engines[index].apply_entry(now, entry, settings, random);
        if is_new_process {
            outliers.record_response(now, entry.zone);
        }
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.engines = self.engines.iter().map(Engine::to_stored).collect();
        stored.cores = self.ready_cores;
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> EngineTable {
        let engines = std::mem::take(&mut stored.engines);
        EngineTable {
            engines: engines.into_iter().map(Engine::from_stored).collect(),
            ready_cores: stored.cores,
        }
    }
}

impl Index<EngineId> for EngineTable {
    type Output = Engine;

    fn index(&self, id: EngineId) -> &Engine {
        &self.engines[id.0 as usize]
    }
}

impl IndexMut<EngineId> for EngineTable {
    fn index_mut(&mut self, id: EngineId) -> &mut Engine {
        &mut self.engines[id.0 as usize]
    }
}
