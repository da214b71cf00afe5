//! Policies: short programs in Rhai that operators can change at run time.
//!
//! A program defines `fn decide(request)`, which returns a map with any of these keys:
//!
//! | key | meaning |
//! |---|---|
//! | `data_centres` | list of names; only backend servers there are used |
//! | `class` | `"interactive"` or `"batch"` |
//! | `wait_ms` | maximum time in the queue |
//! | `on_demand` | `true`: only backend servers whose box cannot be reclaimed |
//! | `refuse` | text with which the request is refused |
//!
//! `request` has the fields `team`, `service`, `class`, `data_centre`, `prompt_tokens`,
//! `max_tokens`, `repeatable` and `may_wait`. If a program fails, exceeds the limit of operations
//! or returns anything else, the built-in rules decide, and the error is counted and logged.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use rhai::{AST, Dynamic, Engine, Map, Scope};

use crate::ids::{DataCentre, PolicyName, ServiceName, TeamName};
use crate::state::config::Class;
use crate::units::{Millis, Tokens};

/// Maximum number of operations in a run; each takes about 10 ns.
const OPERATION_LIMIT: u64 = 5_000;

/// Maximum depth of calls, and of expressions.
const DEPTH_LIMIT: usize = 32;

/// Maximum number of elements in an array or map, and of characters in a string.
const SIZE_LIMIT: usize = 4_096;

/// The function that every policy defines.
const FUNCTION: &str = "decide";

/// What a policy is told about a request.
#[derive(Debug, Clone)]
pub struct PolicyInput {
    /// Team that sent the request.
    pub team: TeamName,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Class of the request without a policy.
    pub class: Class,
    /// Data centre of the deciding node.
    pub data_centre: DataCentre,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the caller accepts a later answer.
    pub may_wait: bool,
}

/// What a policy has decided. The default leaves everything to the built-in rules.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PolicyDecision {
    /// Data centres that may be used; all if empty.
    pub data_centres: Vec<DataCentre>,
    /// Class of the request.
    pub class: Option<Class>,
    /// Maximum time in the queue.
    pub wait: Option<Millis>,
    /// Whether reclaimable boxes are excluded.
    pub on_demand: bool,
    /// Why the request is refused, if it is.
    pub refuse: Option<String>,
}

/// Why a policy could not decide.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("policy {policy}: {detail}")]
pub struct PolicyError {
    /// Name of the policy.
    pub policy: PolicyName,
    /// What went wrong.
    pub detail: String,
}

/// The compiled policies of one revision of the configuration.
#[derive(Default)]
pub struct Policies {
    engine: Option<Arc<Engine>>,
    programs: BTreeMap<PolicyName, Result<AST, String>>,
}

impl fmt::Debug for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.programs.keys()).finish()
    }
}

impl Policies {
    /// Compiles each program once. For a program that does not compile, the error is kept.
    pub fn compile(programs: &BTreeMap<PolicyName, String>) -> Self {
        if programs.is_empty() {
            return Self::default();
        }
        let engine = new_engine();
        let compiled = programs.iter().map(|(name, text)| {
            let ast = compile_program(&engine, text);
            if let Err(detail) = &ast {
                tracing::warn!(event = "policy_invalid", policy = %name, detail);
            }
            (name.clone(), ast)
        });
        let programs = compiled.collect();
        Self { engine: Some(Arc::new(engine)), programs }
    }

    /// Runs a policy.
    ///
    /// # Errors
    /// Fails if the policy is missing, does not compile, fails at run time, or returns something
    /// that is not a valid decision. The built-in rules apply then.
    pub fn decide(
        &self,
        name: &PolicyName,
        input: &PolicyInput,
    ) -> Result<PolicyDecision, PolicyError> {
        let policy_error = |detail: String| PolicyError { policy: name.clone(), detail };
        let engine =
            self.engine.as_ref().ok_or_else(|| policy_error("is not defined".to_owned()))?;
        let program =
            self.programs.get(name).ok_or_else(|| policy_error("is not defined".to_owned()))?;
        let ast = program.as_ref().map_err(|detail| policy_error(detail.clone()))?;
        let mut scope = Scope::new();
        let result: Map = engine
            .call_fn(&mut scope, ast, FUNCTION, (to_map(input),))
            .map_err(|error| policy_error(error.to_string()))?;
        parse_decision(result).map_err(policy_error)
    }

    /// Returns the errors of the programs that do not compile, ordered by name.
    pub fn compile_errors(&self) -> Vec<PolicyError> {
        let errors = self.programs.iter().filter_map(|(name, program)| {
            let detail = program.as_ref().err()?.clone();
            Some(PolicyError { policy: name.clone(), detail })
        });
        errors.collect()
    }
}

fn new_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(OPERATION_LIMIT);
    engine.set_max_call_levels(DEPTH_LIMIT);
    engine.set_max_expr_depths(DEPTH_LIMIT, DEPTH_LIMIT);
    engine.set_max_array_size(SIZE_LIMIT);
    engine.set_max_map_size(SIZE_LIMIT);
    engine.set_max_string_size(SIZE_LIMIT);
    engine.disable_symbol("eval");
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

fn compile_program(engine: &Engine, text: &str) -> Result<AST, String> {
    let ast = engine.compile(text).map_err(|error| error.to_string())?;
    let defined = ast.iter_functions().any(|it| it.name == FUNCTION && it.params.len() == 1);
    match defined {
        true => Ok(ast.clone_functions_only()),
        false => Err(format!("defines no fn {FUNCTION}(request)")),
    }
}

fn to_map(input: &PolicyInput) -> Map {
    let mut map = Map::new();
    map.insert("team".into(), input.team.as_str().to_owned().into());
    map.insert("service".into(), input.service.as_str().to_owned().into());
    map.insert("class".into(), input.class.to_string().into());
    map.insert("data_centre".into(), input.data_centre.as_str().to_owned().into());
    map.insert("prompt_tokens".into(), (input.prompt_tokens.0 as i64).into());
    map.insert("max_tokens".into(), (input.max_tokens.0 as i64).into());
    map.insert("repeatable".into(), input.repeatable.into());
    map.insert("may_wait".into(), input.may_wait.into());
    map
}

fn parse_decision(map: Map) -> Result<PolicyDecision, String> {
    let mut decision = PolicyDecision::default();
    for (key, value) in map {
        match key.as_str() {
            "data_centres" => decision.data_centres = parse_names(value)?,
            "class" => decision.class = Some(parse_text(value, "class")?.parse()?),
            "wait_ms" => decision.wait = Some(parse_millis(&value)?),
            "on_demand" => {
                decision.on_demand =
                    value.as_bool().map_err(|kind| wrong_type("on_demand", kind))?;
            }
            "refuse" => decision.refuse = Some(parse_text(value, "refuse")?),
            other => return Err(format!("returns an unknown key {other:?}")),
        }
    }
    Ok(decision)
}

fn parse_names(value: Dynamic) -> Result<Vec<DataCentre>, String> {
    let list = value.into_array().map_err(|kind| wrong_type("data_centres", kind))?;
    let name = |item: Dynamic| {
        let text = parse_text(item, "data_centres")?;
        text.parse().map_err(|error| format!("data_centres: {error}"))
    };
    list.into_iter().map(name).collect()
}

fn parse_text(value: Dynamic, key: &str) -> Result<String, String> {
    value.into_string().map_err(|kind| wrong_type(key, kind))
}

fn parse_millis(value: &Dynamic) -> Result<Millis, String> {
    let number = value.as_int().map_err(|kind| wrong_type("wait_ms", kind))?;
    u64::try_from(number).map(Millis).map_err(|_| "wait_ms is negative".to_owned())
}

fn wrong_type(key: &str, kind: &str) -> String {
    format!("{key} is of the wrong type, {kind}")
}
