//! Decides which route a request takes and which team its key belongs to.
//!
//! A request is authorized when it arrives, and again before it is sent if it has waited in between: its key may have
//! been revoked or its route changed meanwhile. A box that has been told of newer routes and keys waits a moment for
//! them instead of accepting a key by its old ones.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::header::HOST;

use super::Relay;
use super::call::CallHead;
use super::table::{Route, RouteTable, Team};
use crate::decide::certainty::{ConfigFreshness, key_wait};
use crate::error::{Failure, Kind};

/// Retry-After of a box that has no routes yet or cannot tell whether they are current. After a
/// power loss of the whole deployment the group needs about this long to elect a leader.
const UNCERTAIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Longest time that a call waits for routes and servers. After a restart of the whole deployment
/// the group has a leader, and boxes have routes and backend servers, about this long after their
/// start.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(400);

/// A call waits for routes and servers for at most this fraction of its deadline, as 1 / N. The
/// route's latency objective cannot be used: the route is not known yet.
const CONFIGURATION_WAIT_DIVISOR: u32 = 30;

/// The host and path that a request is for.
pub(super) struct RequestTarget {
    host: String,
    path: String,
}

impl RequestTarget {
    pub(super) fn of(request: &Request<()>) -> Self {
        let host = request.headers().get(HOST).and_then(|host| host.to_str().ok());
        let host = host.or_else(|| request.uri().host()).unwrap_or_default();
        Self { host: host.to_owned(), path: request.uri().path().to_owned() }
    }
}

/// The route and team of a request, by the routes and keys that were in force when it was authorized.
pub(super) struct Authorization {
    pub(super) table: Arc<RouteTable>,
    pub(super) route: Arc<Route>,
    /// `None` for a public route and where requests need no key.
    pub(super) team: Option<Team>,
}

impl Authorization {
    /// Authorizes a request that has waited since it was authorized. It keeps its team: what it used was charged there.
    ///
    /// # Errors
    /// As [`authorize`], and if the key has been given to another team.
    pub(super) async fn renew(
        self,
        relay: &Relay,
        target: &RequestTarget,
        head: &CallHead,
    ) -> Result<Self, Failure> {
        wait_for_newest(relay, target, head).await;
        let renewed = authorize(relay, target, head)?;
        let name = |team: &Option<Team>| team.as_ref().map(|team| team.name.clone());
        match name(&renewed.team) == name(&self.team) {
            true => Ok(renewed),
            false => Err(uncertain("the key was given to another team just now")),
        }
    }
}

/// Authorizes a request by the newest routes and keys that the box has in force.
///
/// # Errors
/// There is no such route or key, or the box cannot tell whether there still is.
pub(super) fn authorize(
    relay: &Relay,
    target: &RequestTarget,
    head: &CallHead,
) -> Result<Authorization, Failure> {
    // Read before the table, so that the table is at least as new as this says.
    let certainty = relay.certainty();
    let table = relay.table().ok_or_else(|| uncertain("no routes are known yet"))?;
    let route = find_route(&table, target)?;
    if !certainty.may_use_routes() {
        return Err(uncertain("newer routes are in force than those known here"));
    }
    let team = find_team(&certainty, &table, &route, head)?;
    Ok(Authorization { table, route, team })
}

/// Waits for the newest routes and keys that the box was told of, if the request depends on them.
pub(super) async fn wait_for_newest(relay: &Relay, target: &RequestTarget, head: &CallHead) {
    if !relay.is_behind() {
        return;
    }
    let Some(table) = relay.table() else {
        return;
    };
    let limit = match find_route(&table, target) {
        Ok(route) if needs_key(&table, &route) => match find_key_owner(&table, head) {
            Some(_) => key_wait(route.objective, relay.context.board.behind_for()),
            None => configuration_wait(head),
        },
        Ok(_) => return,
        Err(_) => configuration_wait(head),
    };
    relay.wait_until_current(limit).await;
}

/// How long a call may wait for the box to receive routes and backend servers.
pub(super) fn configuration_wait(head: &CallHead) -> Duration {
    let deadline = head.timeout.unwrap_or_default();
    (deadline / CONFIGURATION_WAIT_DIVISOR).min(MAX_CONFIGURATION_WAIT)
}

/// The refusal of a box that cannot tell whether its routes and keys are current.
pub(super) fn uncertain(text: &str) -> Failure {
    Failure::new(Kind::StaleConfiguration, text).after(Some(UNCERTAIN_RETRY_AFTER))
}

fn find_route(table: &RouteTable, target: &RequestTarget) -> Result<Arc<Route>, Failure> {
    let route = table.find(&target.host, &target.path).cloned();
    route.ok_or_else(|| Failure::new(Kind::NotFound, "no route leads there"))
}

fn needs_key(table: &RouteTable, route: &Route) -> bool {
    table.has_teams() && !route.public
}

fn find_key_owner<'a>(table: &'a RouteTable, head: &CallHead) -> Option<&'a Team> {
    table.team_of(head.api_key.as_deref()?)
}

fn find_team(
    certainty: &ConfigFreshness,
    table: &RouteTable,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Team>, Failure> {
    let owner = find_key_owner(table, head).cloned();
    if !needs_key(table, route) {
        return Ok(owner);
    }
    match owner {
        Some(team) if certainty.may_trust_keys() => Ok(Some(team)),
        Some(_) => Err(uncertain("whether the key still holds is not known")),
        None => Err(Failure::new(Kind::UnknownKey, "the key belongs to no team")),
    }
}
