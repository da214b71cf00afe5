//! Limits how many requests a release on trial may receive.
//!
//! By the deadline of a roll-out, a release that turns out bad must have received no more than a given
//! fraction of its service's requests. Relays therefore need a permit for each request that they send to it.
//! The leader grants permits for a short time, and the total of granted permits, used or not, never exceeds
//! that fraction of the requests so far. A relay that does not hear from the leader loses its permits. The
//! group stores an upper bound before a leader grants up to it, so a new leader never grants more than what
//! certainly remains.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, Incarnation};

/// How long a permit is valid after the report that it answers: three heartbeats of a relay. Without a
/// leader, all traffic returns to the previous release that long after the last report.
pub const PERMIT_TIME: Duration = Duration::from_millis(1_200);

/// The fraction of the allowed requests that a roll-out uses in total. The rest covers clock errors and
/// delayed messages.
pub(super) const ROLLOUT_FRACTION: f64 = 0.9;

/// The minimum and maximum fraction of these that a trial uses. The rest is for the traffic that goes to the
/// new release between the shift and the deadline: the more a trial uses, the shorter that time is, and
/// streams on the previous servers need time to end.
const TRIAL_FRACTION: (f64, f64) = (0.3, 0.7);

/// Seconds of all traffic that a trial leaves for the shift, where possible.
const SHIFT_TIME: f64 = 1.0;

/// How far the bound stored by the group is moved beyond the granted permits, as a fraction of what a trial
/// may use in total. It limits a trial to about ten synced log entries.
const AHEAD_FRACTION: f64 = 0.1;

/// The minimum number of requests by which the bound is moved.
const MIN_AHEAD: u64 = 8;

/// The number of requests that operators allow to go to a possibly bad release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// The fraction of all requests of the service.
    pub share: f64,
    /// An absolute number of requests in addition.
    pub slack: f64,
}

impl ExposureLimit {
    /// The number of requests that a trial may have sent once `came` requests arrived in total, at `rate`
    /// per second.
    pub fn for_trial(self, came: u64, rate: f64) -> u64 {
        let allowed = (self.share * came as f64 + self.slack) * ROLLOUT_FRACTION;
        let trial = allowed - rate * SHIFT_TIME;
        trial.clamp(allowed * TRIAL_FRACTION.0, allowed * TRIAL_FRACTION.1) as u64
    }

    /// How long before the deadline, in seconds, all traffic may go to the new release without exceeding the
    /// fraction `part` of the allowed requests, given that `came` requests arrived in `passed` of `whole`
    /// seconds and `exposed` of them may have gone there.
    pub fn shift_time(self, part: f64, came: u64, exposed: u64, passed: f64, whole: f64) -> f64 {
        let rate = came as f64 / passed.max(f64::MIN_POSITIVE);
        let expected = rate * whole;
        let allowed = (self.share * expected + self.slack) * part - exposed as f64;
        if rate <= 0.0 { whole } else { (allowed / rate).clamp(0.0, whole) }
    }
}

/// The permits held by one relay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Permits {
    left: u64,
    /// The permits used since the process started, and how many of them were reported.
    used: u64,
    reported: u64,
    /// The number of the last report.
    sequence: u64,
    /// When the report was sent that the last answer belongs to.
    report_sent: Option<Instant>,
    valid_from: Option<Instant>,
}

impl Permits {
    /// Takes a permit and returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let holds = self.is_valid(now) && self.left > 0;
        if holds {
            self.left -= 1;
            self.used += 1;
        }
        holds
    }

    /// Returns a permit for a request that was not sent. Ignored if none is in use: the
    /// permit was then taken in another roll-out.
    pub fn give_back(&mut self) {
        if self.used > 0 {
            self.left += 1;
            self.used -= 1;
        }
    }

    /// Drops all permits until the next answer.
    pub fn drop_all(&mut self) {
        self.left = 0;
    }

    /// Whether the leader's last answer is still valid.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_from.is_some_and(|valid_from| now < valid_from + PERMIT_TIME)
    }

    /// Builds the report that is sent now.
    pub fn report(&mut self, now: Instant) -> PermitReport {
        if !self.is_valid(now) {
            self.left = 0;
        }
        self.sequence += 1;
        self.reported = self.used;
        self.report_sent = Some(now);
        PermitReport { sequence: self.sequence, used: self.used, max_used: self.used + self.left }
    }

    /// Applies the answer to the last report. Permits used since that report count against the granted ones.
    pub fn apply_grant(&mut self, granted: u64) {
        self.left = granted.saturating_sub(self.used.saturating_sub(self.reported));
        self.valid_from = self.report_sent;
    }
}

/// A relay's report of its permits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// The sequence number of the report.
    #[serde(rename = "turn")]
    pub sequence: u64,
    /// Permits used since the process started.
    pub used: u64,
    /// The maximum that `used` may reach without another answer.
    #[serde(rename = "reach")]
    pub max_used: u64,
}

/// The permits of one relay, as known to the leader.
#[derive(Debug, Clone, Copy, Default)]
struct RelayGrant {
    /// The permits used when this leader first heard from the relay; former leaders granted them.
    base: u64,
    sequence: u64,
    /// The maximum that may have been used since then, whichever of the leader's answers arrived.
    max_used: u64,
}

/// The permits granted by a leader.
#[derive(Debug, Clone, Default)]
pub struct PermitGrants {
    relays: BTreeMap<(BoxId, Incarnation), RelayGrant>,
    /// The maximum that may have been used in total: what former leaders may have granted plus the maxima of
    /// all relays.
    committed: u64,
}

impl PermitGrants {
    /// The state of a new leader, where former ones may have granted up to `inherited` permits.
    pub fn new(inherited: u64) -> Self {
        Self { relays: BTreeMap::new(), committed: inherited }
    }

    /// The number of requests that went to the new release or may still go there with the permits held.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Records a relay's report and grants up to `wanted` permits within `bound`. Reports that arrive out of
    /// order are granted nothing.
    pub fn grant(
        &mut self,
        key: (BoxId, Incarnation),
        report: PermitReport,
        wanted: u64,
        bound: u64,
    ) -> u64 {
        let first = RelayGrant { base: report.used, ..RelayGrant::default() };
        let grant = self.relays.entry(key).or_insert(first);
        if report.sequence <= grant.sequence {
            return 0;
        }
        let others = self.committed - grant.max_used;
        let used = report.used.saturating_sub(grant.base);
        let granted = wanted.min(bound.saturating_sub(others + used));
        let held = report.max_used.saturating_sub(grant.base);
        *grant = RelayGrant {
            base: grant.base,
            sequence: report.sequence,
            max_used: held.max(used + granted),
        };
        self.committed = others + grant.max_used;
        granted
    }

    /// The bound that the group must store before more is granted, or `None` if it need not move. `noted` is
    /// the stored bound, `allowed` what a trial may use by now, and `most` what it may use in total.
    pub fn next_bound(&self, noted: u64, allowed: u64, most: u64) -> Option<u64> {
        let ahead = ((most as f64 * AHEAD_FRACTION) as u64).max(MIN_AHEAD);
        let wanted = (self.committed + ahead).min(allowed);
        (wanted > noted && self.committed + ahead / 2 > noted).then_some(wanted)
    }
}
