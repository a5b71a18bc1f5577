//! The client's side of JSON-RPC.

use std::time::Instant;

use derive_more::{Display, Error};
use filbertwheel_core::{Text, value};
use filbertwheel_http::{Pool, Request, Response, SendError};
use jsonrpsee_types::{Id, Response as RpcResponse, ResponsePayload};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{RPC_PATH, RequestAuth};

/// Why a JSON-RPC request has no answer.
#[value]
#[derive(Display, Error)]
pub enum RpcError {
    /// The other process can't be reached, or its answer was lost.
    #[display("no answer: {_0}")]
    Transport(SendError),
    /// The other process doesn't take this one's secret. Nothing was done.
    #[display("the secret is not accepted")]
    Unauthenticated,
    /// The answer can't be understood.
    #[display("the answer is malformed")]
    Malformed,
    /// The other process refused the request.
    #[display("refused: {detail}")]
    Refused {
        /// Code of the error.
        code: i32,
        /// What it said.
        detail: Text,
        /// Data of the error in JSON.
        data: Option<Text>,
    },
}

/// Sends signed JSON-RPC requests.
#[derive(Debug, Clone)]
pub struct RpcClient {
    auth: RequestAuth,
}

impl RpcClient {
    /// A client that signs with `auth`.
    pub fn open(auth: RequestAuth) -> Self {
        Self { auth }
    }

    /// Sends a signed request.
    pub async fn send_signed(
        &self,
        pool: &Pool,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        let response = pool.exchange(self.auth.sign(request), deadline).await?;
        match response.status {
            200 => Ok(response),
            // The door turned the request away before anything was done with it.
            401 | 404 => Err(SendError::NotSent),
            _ => Err(SendError::Broken),
        }
    }

    /// Calls a method with one argument.
    pub async fn call<P: Serialize + Sync, R: DeserializeOwned + Clone>(
        &self,
        pool: &Pool,
        method: &str,
        param: &P,
        deadline: Instant,
    ) -> Result<R, RpcError> {
        let params = serde_json::value::to_raw_value(&[param]).map_err(malformed)?;
        let request = jsonrpsee_types::Request::borrowed(method, Some(&params), Id::Number(0));
        let body = serde_json::to_vec(&request).map_err(malformed)?;
        let request = self.auth.sign(Request::post(RPC_PATH, body));
        let response = pool.exchange(request, deadline).await;
        let response = response.map_err(RpcError::Transport)?;
        match response.status {
            200 => {}
            401 => return Err(RpcError::Unauthenticated),
            404 => return Err(RpcError::Transport(SendError::NotSent)),
            _ => return Err(RpcError::Transport(SendError::Broken)),
        }
        let reply: RpcResponse<'_, R> =
            serde_json::from_slice(&response.body).map_err(malformed)?;
        match reply.payload {
            ResponsePayload::Success(answer) => Ok(answer.into_owned()),
            ResponsePayload::Error(error) => Err(RpcError::Refused {
                code: error.code(),
                detail: error.message().into(),
                data: error.data().map(|data| data.get().into()),
            }),
        }
    }
}

fn malformed(_: serde_json::Error) -> RpcError {
    RpcError::Malformed
}
