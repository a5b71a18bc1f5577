//! JSON-RPC client.

use std::time::Instant;

use derive_more::{Display, Error};
use filbertwheel_core::{Text, value};
use filbertwheel_http::{Pool, Request, Response, SendError};
use jsonrpsee_types::{Id, Response as RpcResponse, ResponsePayload};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{RPC_PATH, RequestAuth};

/// Why a JSON-RPC request failed.
#[value]
#[derive(Display, Error)]
pub enum RpcError {
    /// The other process is unreachable, or its response was lost.
    #[display("no response: {_0}")]
    Transport(SendError),
    /// The other process rejected the signature. It did not run the method.
    #[display("the secret was rejected")]
    Unauthenticated,
    /// The request can't be encoded, or the response can't be parsed.
    #[display("the response is malformed")]
    Malformed,
    /// The other process refused the request.
    #[display("refused: {detail}")]
    Refused {
        /// JSON-RPC error code.
        code: i32,
        /// Error message.
        detail: Text,
        /// Error data as JSON.
        data: Option<Text>,
    },
}

/// Sends signed JSON-RPC requests.
#[derive(Debug, Clone)]
pub struct RpcClient {
    auth: RequestAuth,
}

impl RpcClient {
    /// Creates a client that signs its requests with `auth`.
    pub fn open(auth: RequestAuth) -> Self {
        Self { auth }
    }

    /// Signs and sends a plain HTTP request.
    pub async fn send_signed(
        &self,
        pool: &Pool,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        let response = pool.exchange(self.auth.sign(request), deadline).await?;
        match response.status {
            200 => Ok(response),
            // The endpoint rejected the request before it was processed.
            401 | 404 => Err(SendError::NotSent),
            _ => Err(SendError::Broken),
        }
    }

    /// Calls a method with one parameter.
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
