//! Proofs on requests.

use std::sync::Arc;

use filbertwheel_core::{Clock, FleetSecret, SignatureError};
use filbertwheel_http::{Request, names};

/// Signs requests with a secret, and checks those that come in.
#[derive(Debug, Clone)]
pub struct RequestAuth {
    secret: FleetSecret,
    clock: Arc<dyn Clock>,
}

impl RequestAuth {
    /// A guard with a secret.
    pub fn open(secret: FleetSecret, clock: Arc<dyn Clock>) -> Self {
        Self { secret, clock }
    }

    /// The request with a proof over its path and body.
    pub fn sign(&self, request: Request) -> Request {
        let parts = [request.path.as_bytes(), request.body.as_ref()];
        let proof = self.secret.sign(self.clock.wall(), &parts).to_string();
        request.with(names::PROOF, proof)
    }

    /// Checks a request's proof.
    pub fn verify(&self, request: &Request) -> Result<(), SignatureError> {
        let proof = request
            .header(names::PROOF)
            .ok_or(SignatureError::Malformed)?;
        let parts = [request.path.as_bytes(), request.body.as_ref()];
        self.secret
            .verify(proof.as_bytes(), self.clock.wall(), &parts)
    }
}
