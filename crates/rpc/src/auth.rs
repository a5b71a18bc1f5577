//! Signatures on requests.

use std::sync::Arc;

use filbertwheel_core::{Clock, FleetSecret, SignatureError};
use filbertwheel_http::{Request, names};

/// Signs outgoing requests with a shared secret and verifies incoming ones.
#[derive(Debug, Clone)]
pub struct RequestAuth {
    secret: FleetSecret,
    clock: Arc<dyn Clock>,
}

impl RequestAuth {
    /// Creates an authenticator with a secret.
    pub fn open(secret: FleetSecret, clock: Arc<dyn Clock>) -> Self {
        Self { secret, clock }
    }

    /// Adds a header with a signature of the request's path and body.
    pub fn sign(&self, request: Request) -> Request {
        let parts = [request.path.as_bytes(), request.body.as_ref()];
        let proof = self.secret.sign(self.clock.wall(), &parts).to_string();
        request.with(names::PROOF, proof)
    }

    /// Verifies the signature of a request.
    pub fn verify(&self, request: &Request) -> Result<(), SignatureError> {
        let proof = request
            .header(names::PROOF)
            .ok_or(SignatureError::Malformed)?;
        let parts = [request.path.as_bytes(), request.body.as_ref()];
        self.secret
            .verify(proof.as_bytes(), self.clock.wall(), &parts)
    }
}
