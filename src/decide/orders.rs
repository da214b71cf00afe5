//! Tracks the orders for engines of one service until the list shows their effect, and decides when the next
//! order is due.
//!
//! The list lags, engines take seconds to boot, and an order that was not answered may still be carried out
//! later. An order therefore counts as the engines it asked for during a limited time.
//!
//! This module does no I/O; times are seconds of any monotonic clock.

use std::collections::BTreeMap;

use super::spend::EngineCount;
use crate::ids::DataCentre;

/// Seconds without a new order after a refusal. Spot engines take several seconds to become available again,
/// and each attempt is a call to the platform.
const REFUSAL_HOLD_TIME: f64 = 2.5;

/// The maximum lag of the list behind the time at which an engine serves, in seconds.
const MAX_LIST_LAG: f64 = 2.0;

/// Seconds beyond the boot time after which an order without effect is repeated. The list lags, and an order
/// that was not answered may be carried out late and undo a newer one.
const REPEAT_MARGIN: f64 = 2.5;

/// The minimum seconds between an order and a later one for fewer engines of the same pool. Oscillating
/// counts would boot engines for nothing.
const SHRINK_INTERVAL: f64 = 4.0;

/// Identifies the engines of one kind in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EnginePool {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether these are spot engines.
    pub spot: bool,
}

/// An order that the platform accepted or may have accepted.
#[derive(Debug, Clone, Copy)]
struct PlacedOrder {
    count: u32,
    placed_at: f64,
    /// The number of ordered engines that served at the last observation.
    serving: u32,
    /// The number of ordered engines that served and were lost since.
    lost: u32,
}

impl PlacedOrder {
    /// Records the number of serving engines. A drop below the ordered count is a loss, as those engines
    /// were not given up.
    fn observe(&mut self, serving: u32) {
        let still_serving = serving.min(self.count);
        self.lost += self.serving.saturating_sub(still_serving);
        self.serving = still_serving;
    }

    /// Whether all ordered engines are lost. The spot engines of a data centre are reclaimed together,
    /// including those that boot.
    fn is_lost(&self, spot: bool) -> bool {
        spot && self.serving == 0 && self.lost > 0
    }
}

/// The orders of one service.
#[derive(Debug, Clone, Default)]
pub struct OrderTracker {
    placed: BTreeMap<EnginePool, PlacedOrder>,
    refused: BTreeMap<EnginePool, f64>,
}

impl OrderTracker {
    /// Records an order for `count` engines that was accepted at `now`, or may have been.
    pub fn record_order(&mut self, now: f64, pool: EnginePool, count: u32) {
        self.placed.insert(pool, PlacedOrder { count, placed_at: now, serving: 0, lost: 0 });
    }

    /// Records that an order was refused. If engines serve in the pool, there are merely no further ones and
    /// the earlier order stays valid; otherwise there are none at all.
    pub fn record_refusal(&mut self, now: f64, pool: EnginePool) {
        if self.placed.get(&pool).is_some_and(|placed| placed.serving == 0) {
            self.placed.remove(&pool);
        }
        self.refused.insert(pool, now);
    }

    /// The serving and the expected engines. An order counts as its engines, minus those lost since, until
    /// the list must show them: `boot_time` seconds plus the lag of the list.
    pub fn engine_count(
        &mut self,
        now: f64,
        pool: &EnginePool,
        serving: u32,
        boot_time: f64,
    ) -> EngineCount {
        let Some(placed) = self.placed.get_mut(pool) else {
            return EngineCount { serving, expected: serving };
        };
        placed.observe(serving);
        if placed.is_lost(pool.spot) {
            self.placed.remove(pool);
            return EngineCount { serving, expected: serving };
        }
        let is_pending = now - placed.placed_at < boot_time + MAX_LIST_LAG;
        let expected = if is_pending { placed.count.saturating_sub(placed.lost) } else { serving };
        EngineCount { serving, expected }
    }

    /// Whether an order for `count` engines is due: it differs from the last order, or that order had no
    /// effect for too long.
    pub fn is_due(
        &self,
        now: f64,
        pool: &EnginePool,
        count: u32,
        current: EngineCount,
        boot_time: f64,
    ) -> bool {
        if self.time_since_refusal(now, pool).is_some_and(|passed| passed < REFUSAL_HOLD_TIME) {
            return false;
        }
        match self.placed.get(pool) {
            None => count != current.serving,
            Some(placed) if placed.count == count => {
                count != current.serving && now - placed.placed_at > boot_time + REPEAT_MARGIN
            }
            Some(placed) if count < placed.count => now - placed.placed_at > SHRINK_INTERVAL,
            Some(_) => true,
        }
    }

    /// Seconds since an order for this pool was refused.
    pub fn time_since_refusal(&self, now: f64, pool: &EnginePool) -> Option<f64> {
        self.refused.get(pool).map(|at| now - at)
    }
}
