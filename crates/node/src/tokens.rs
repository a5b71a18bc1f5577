//! Call tokens, by which a backend server's nested calls are tied to the call that it runs.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use filbertwheel_core::{Call, CutOff, Text, invariant};

/// Calls running at this node's backend server, by token.
#[derive(Debug, Default)]
pub(crate) struct CallTokens {
    calls: Mutex<HashMap<Text, TokenGrant>>,
}

/// Data of a running call that its nested calls inherit.
#[derive(Debug, Clone)]
pub(crate) struct TokenGrant {
    /// The running call, without its body.
    pub call: Call,
    /// Retries left for the call and all of its nested calls.
    pub retries: u32,
    /// Time spent on nested calls so far.
    pub nested: Duration,
    /// Strictest cut-off that was reported to its nested calls.
    pub cut_off: Option<CutOff>,
}

impl CallTokens {
    /// Issues a token for a call that is about to run.
    pub fn issue(&self, call: &Call) -> Text {
        let token: Text = format!("{:032x}", rand::random::<u128>()).into();
        let retries = call.retries;
        let call = Call {
            body: Default::default(),
            headers: Vec::new(),
            ..call.clone()
        };
        let grant = TokenGrant {
            call,
            retries,
            nested: Duration::ZERO,
            cut_off: None,
        };
        self.lock().insert(token.clone(), grant);
        token
    }

    /// Ends a call. Returns its data.
    pub fn end(&self, token: &Text) -> Option<TokenGrant> {
        self.lock().remove(token)
    }

    /// Looks up a token and lends half of the remaining retries to a nested call.
    pub fn lend_retries(&self, token: &Text) -> Option<TokenGrant> {
        let mut calls = self.lock();
        let grant = calls.get_mut(token)?;
        let given = grant.retries.div_ceil(2);
        grant.retries -= given;
        Some(TokenGrant {
            call: grant.call.clone(),
            retries: given,
            nested: Duration::ZERO,
            cut_off: None,
        })
    }

    /// Returns the `left` of `given` retries that a nested call hasn't spent, and adds the time
    /// `nested` that it took.
    pub fn return_retries(&self, token: &Text, given: u32, left: u32, nested: Duration) {
        invariant!(
            "retries-bounded",
            left <= given,
            "{left} retries came back of {given}"
        );
        if let Some(grant) = self.lock().get_mut(token) {
            grant.retries += left.min(given);
            grant.nested += nested;
        }
    }

    /// Records a cut-off that was reported to a nested call.
    pub fn record_cut_off(&self, token: &Text, cut_off: CutOff) {
        if let Some(grant) = self.lock().get_mut(token) {
            grant.cut_off = Some(
                grant
                    .cut_off
                    .map_or(cut_off, |known| known.stricter(cut_off)),
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Text, TokenGrant>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
