//! Moves last copies of small models together, so that memory that is scattered over engines holds
//! further copies of busy models.

use crate::{balance::Balancer, engine::EngineState};
use mulberryrack_core::Name;
use mulberryrack_site::order::Action;

/// Copies are moved while fewer than one in so many of the parallel loads are under way. The others
/// are left to models that a copy can be loaded of now.
const PARALLEL_LOADS_PER_MOVE: usize = 2;

impl Balancer<'_> {
    /// For a model that no engine has the memory for: loads a copy of a smaller model where it fits
    /// into memory that is too small for `model`, if an engine that has the only copy of the smaller
    /// one could hold `model` without it. That copy is evicted once it is no longer the only one.
    pub(crate) fn consolidate_for(&mut self, model: &Name) {
        let max_loads = self.max_parallel_loads().div_ceil(PARALLEL_LOADS_PER_MOVE);
        if self.open_order_count(Action::Load) >= max_loads {
            return;
        }
        let Some((smaller, destination)) = self.find_move(model) else {
            return;
        };
        let has_weights = self.serving_engines().any(|engine| {
            engine.registration.id == destination && engine.has_local_weights(&smaller)
        });
        if !has_weights && !self.take_load_slot() {
            return;
        }
        self.issue(&destination, Action::Load, (&smaller, None), "consolidate");
        let speed = self.planner.speed(&destination);
        self.count_new_copy(&smaller, speed);
    }

    /// The smaller model with the least work that can be moved, and the engine to move it to: the
    /// one with the least free memory that it fits into.
    fn find_move(&self, model: &Name) -> Option<(Name, Name)> {
        let size_mb = self.size_mb(model);
        let makes_room = |engine: &EngineState, smaller: &Name| {
            self.size_mb(smaller) < size_mb
                && self.copy_count(smaller) == 1
                && !engine.will_have_model(model)
                && self.fits_after_eviction(engine, smaller, model)
        };
        let mut movable: Vec<&Name> = self
            .serving_engines()
            .filter(|engine| engine.can_take_order(self.now))
            .flat_map(|engine| {
                let models = engine.models.keys();
                models.filter(move |smaller| makes_room(engine, smaller))
            })
            .collect();
        let work = |model: &Name| self.planner.workload.of_model(model);
        movable.sort_by(|one, other| work(one).total_cmp(&work(other)));
        movable.into_iter().find_map(|smaller| {
            let destination = self
                .serving_engines()
                .filter(|engine| {
                    let free_mb = engine.free_mb(self.spec);
                    engine.can_take_order(self.now)
                        && !engine.will_have_model(smaller)
                        && free_mb >= self.size_mb(smaller)
                        && free_mb < size_mb
                })
                .min_by(|one, other| one.free_mb(self.spec).total_cmp(&other.free_mb(self.spec)))?;
            Some((smaller.clone(), destination.registration.id.clone()))
        })
    }
}
