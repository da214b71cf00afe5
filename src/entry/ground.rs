//! The ground on which a request is decided: one configuration and one team, throughout.

use std::sync::Arc;

use super::dispatch::Wanted;
use super::request::Head;
use crate::blackboard::InForce;
use crate::control::share::team_limits;
use crate::decide::policy::{PolicyDecision, PolicyInput};
use crate::decide::route::Need;
use crate::error::{Failure, Kind};
use crate::ids::{ServiceName, TeamName};
use crate::node::{AdmissionGuard, Node};
use crate::state::config::{Service, ServiceKind, Team};
use crate::units::Tokens;

/// The ground on which a request is decided: one configuration, one team, throughout.
pub(super) struct Ground {
    /// The configuration in force when the request came.
    pub(super) in_force: Arc<InForce>,
    /// Whose request.
    pub(super) name: TeamName,
    /// What the team is owed.
    pub(super) team: Team,
}

impl Ground {
    /// The ground for a caller's request.
    pub(super) fn read(node: &Node, head: &Head) -> Result<Self, Failure> {
        node.check_takes_work()?;
        let in_force = node.board.in_force();
        let unknown = || Failure::new(Kind::UnknownKey, "the bearer key belongs to no team");
        let digest = head.digest.as_ref().ok_or_else(unknown)?;
        let found = in_force.configuration.team_of(digest);
        let (name, team) =
            found.map(|(name, team)| (name.clone(), team.clone())).ok_or_else(unknown)?;
        Ok(Self { in_force, name, team })
    }

    /// The ground for a request that a team made earlier, perhaps at another node.
    pub(super) fn of_team(node: &Node, name: &TeamName) -> Result<Self, Failure> {
        node.check_takes_work()?;
        let in_force = node.board.in_force();
        let team = in_force.configuration.teams.get(name).cloned();
        let missing = || Failure::new(Kind::UnknownKey, "the team is gone");
        Ok(Self { team: team.ok_or_else(missing)?, name: name.clone(), in_force })
    }

    /// The service of a name and kind.
    pub(super) fn service(
        &self,
        name: &ServiceName,
        kind: ServiceKind,
    ) -> Result<&Service, Failure> {
        let found = self.in_force.configuration.services.get(name);
        let found = found.filter(|service| service.kind == kind);
        found.ok_or_else(|| Failure::new(Kind::NotFound, format!("no such service: {name}")))
    }

    /// Runs the service's policy; one that fails is passed over.
    pub(super) fn rule(
        &self,
        node: &Node,
        service: &Service,
        facts: &PolicyInput,
    ) -> Result<PolicyDecision, Failure> {
        let Some(policy) = &service.policy else {
            return Ok(PolicyDecision::default());
        };
        let ruling = match self.in_force.policies.decide(policy, facts) {
            Ok(ruling) => ruling,
            Err(fault) => {
                node.metrics.count_policy_fault(policy.as_str());
                tracing::warn!(event = "policy_failed", policy = %policy, detail = fault.detail);
                PolicyDecision::default()
            }
        };
        match &ruling.refuse {
            Some(text) => Err(Failure::new(Kind::PolicyRefused, text.clone())),
            None => Ok(ruling),
        }
    }

    /// Admits a request within the team's limits; dropping the guard gives back what it reserved.
    pub(super) fn admit(
        &self,
        node: &Arc<Node>,
        tokens: Tokens,
    ) -> Result<AdmissionGuard, Failure> {
        let limits = &self.in_force.configuration.limits;
        let shares = node.board.shares.load();
        let limit = shares.limit(&self.name, team_limits(&self.team), limits.entry_boxes);
        node.earn_retry(limits.retry_percent);
        node.admit(&self.name, tokens, limit)
    }

    /// What the request wants of a backend server.
    pub(super) fn wanted(
        &self,
        head: &Head,
        service: &ServiceName,
        need: Need,
        ruling: PolicyDecision,
    ) -> Wanted {
        Wanted {
            service: service.clone(),
            team: self.name.clone(),
            class: ruling.class.unwrap_or(self.team.class),
            weight: self.team.weight,
            need,
            prefixes: Vec::new(),
            ruling,
            deadline: head.deadline,
            tried: Vec::new(),
            accepted: false,
        }
    }

    /// What a policy is told.
    pub(super) fn facts(
        &self,
        node: &Node,
        head: &Head,
        service: &ServiceName,
        need: &Need,
    ) -> PolicyInput {
        PolicyInput {
            team: self.name.clone(),
            service: service.clone(),
            class: self.team.class,
            data_centre: node.settings.node.data_centre.clone(),
            prompt_tokens: need.prompt,
            max_tokens: need.output,
            repeatable: head.repeatable,
            may_wait: head.may_wait,
        }
    }
}

/// What a request needs, decided at this node.
pub(super) fn need(node: &Node, prompt: Tokens, output: Tokens) -> Need {
    Need { data_centre: node.settings.node.data_centre.clone(), prompt, output }
}
