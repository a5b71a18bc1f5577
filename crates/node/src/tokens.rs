//! Call tokens: what a backend server shows when it calls other services.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use filbertwheel_core::{Call, CutOff, Text, invariant};

/// The calls that are running at this node's backend server, by token.
#[derive(Debug, Default)]
pub(crate) struct CallTokens {
    calls: Mutex<HashMap<Text, TokenGrant>>,
}

/// What nested calls inherit.
#[derive(Debug, Clone)]
pub(crate) struct TokenGrant {
    /// The running call, without its body.
    pub call: Call,
    /// Retries that are left for it and everything below.
    pub retries: u32,
    /// Time spent on nested calls so far.
    pub nested: Duration,
    /// Which calls like it are shed further down, as far as it's known.
    pub cut: Option<CutOff>,
}

impl CallTokens {
    /// Makes a token for a call that's about to run.
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
            cut: None,
        };
        self.lock().insert(token.clone(), grant);
        token
    }

    /// Ends a call. Returns what's left of it.
    pub fn end(&self, token: &Text) -> Option<TokenGrant> {
        self.lock().remove(token)
    }

    /// Looks up a token, and takes half of the retries that are left for a nested call.
    pub fn lend_retries(&self, token: &Text) -> Option<TokenGrant> {
        let mut calls = self.lock();
        let grant = calls.get_mut(token)?;
        let given = grant.retries.div_ceil(2);
        grant.retries -= given;
        Some(TokenGrant {
            call: grant.call.clone(),
            retries: given,
            nested: Duration::ZERO,
            cut: None,
        })
    }

    /// Gives back what a nested call that took `nested` hasn't spent of the retries that it was
    /// given.
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

    /// Takes note of a cut-off that came back to a running call.
    pub fn record_cut_off(&self, token: &Text, cut: CutOff) {
        if let Some(grant) = self.lock().get_mut(token) {
            grant.cut = Some(grant.cut.map_or(cut, |known| known.stricter(cut)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Text, TokenGrant>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
