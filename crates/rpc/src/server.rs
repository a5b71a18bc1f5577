//! JSON-RPC server.

use std::fmt::Display;

use filbertwheel_http::{Request, Response};
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::{ErrorObjectOwned, Params};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// JSON-RPC error code for errors returned by a method.
const METHOD_ERROR_CODE: i32 = -32_001;

/// Dispatches a request to the methods of `module` and returns the response.
pub async fn dispatch<C>(module: &RpcModule<C>, request: &Request) -> Response {
    let Ok(text) = std::str::from_utf8(&request.body) else {
        return Response::new(400, "the request is not UTF-8");
    };
    match module.raw_json_request(text, 1).await {
        Ok((reply, _)) => Response::new(200, reply.get().to_owned()),
        Err(error) => Response::new(400, error.to_string()),
    }
}

/// Parses the single parameter of a method.
pub fn parse_param<T: DeserializeOwned>(params: &Params<'_>) -> Result<T, ErrorObjectOwned> {
    params.one()
}

/// Converts a method's error into a JSON-RPC error with the original error as its data.
pub fn method_error<E: Display + Serialize>(error: E) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(METHOD_ERROR_CODE, error.to_string(), Some(error))
}
