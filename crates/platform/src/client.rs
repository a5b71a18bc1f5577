//! HTTP clients of the platform's services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use filbertwheel_core::{Clock, Text};
use filbertwheel_http::{Limits, Pool, Request, Response, SendError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    CommitReply, CommitRequest, Objects, PlatformError, ReadRequest, Row, RowsReply, ScanRequest,
    Table, Write,
};

/// How long one request to the platform may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The table service over HTTP.
#[derive(Debug)]
pub struct TableClient(Client);

/// The object store over HTTP.
#[derive(Debug)]
pub struct ObjectClient(Client);

#[derive(Debug)]
struct Client {
    pool: Pool,
    clock: Arc<dyn Clock>,
}

impl TableClient {
    /// A client of the table service at `address`.
    pub fn open(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        Self(Client::open(address, clock))
    }
}

impl ObjectClient {
    /// A client of the object store at `address`.
    pub fn open(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        Self(Client::open(address, clock))
    }
}

#[async_trait]
impl Table for TableClient {
    async fn read(&self, key: &Text) -> Result<Option<Row>, PlatformError> {
        let request = ReadRequest { key: key.clone() };
        let reply: RowsReply = self.0.ask("/table/read", &request).await?;
        Ok(reply.rows.into_iter().next())
    }

    async fn scan(&self, prefix: &Text, after: &Text) -> Result<Vec<Row>, PlatformError> {
        let request = ScanRequest {
            prefix: prefix.clone(),
            after: after.clone(),
        };
        let reply: RowsReply = self.0.ask("/table/scan", &request).await?;
        Ok(reply.rows)
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), PlatformError> {
        match self
            .0
            .ask("/table/commit", &CommitRequest { writes })
            .await?
        {
            CommitReply::Committed => Ok(()),
            CommitReply::Conflict { key, version } => Err(PlatformError::Conflict { key, version }),
        }
    }
}

#[async_trait]
impl Objects for ObjectClient {
    async fn get(&self, key: &Text) -> Result<Option<Bytes>, PlatformError> {
        let response = self
            .0
            .exchange(Request::get(&format!("/objects/{key}")))
            .await?;
        match response.status {
            200 => Ok(Some(response.body)),
            404 => Ok(None),
            _ => Err(PlatformError::Unknown),
        }
    }

    async fn put(&self, key: &Text, object: Bytes) -> Result<(), PlatformError> {
        let request = Request::post(&format!("/objects/{key}"), object);
        self.0.carry_out(request).await
    }

    async fn remove(&self, key: &Text) -> Result<(), PlatformError> {
        let mut request = Request::get(&format!("/objects/{key}"));
        request.method = Text::from_static("DELETE");
        self.0.carry_out(request).await
    }
}

impl Client {
    fn open(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        let pool = Pool::open(address, Limits::default(), Arc::clone(&clock));
        Self { pool, clock }
    }

    async fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(question).map_err(|_| PlatformError::Malformed)?;
        let response = self.exchange(Request::post(path, body)).await?;
        if response.status != 200 {
            return Err(PlatformError::Unknown);
        }
        serde_json::from_slice(&response.body).map_err(|_| PlatformError::Malformed)
    }

    async fn carry_out(&self, request: Request) -> Result<(), PlatformError> {
        match self.exchange(request).await?.status {
            200 => Ok(()),
            _ => Err(PlatformError::Unknown),
        }
    }

    async fn exchange(&self, request: Request) -> Result<Response, PlatformError> {
        let deadline = self.clock.now() + REQUEST_TIMEOUT;
        self.pool
            .exchange(request, deadline)
            .await
            .map_err(|error| match error {
                error if error.is_unsent() => PlatformError::Unreachable,
                SendError::Broken => PlatformError::Malformed,
                _ => PlatformError::Unknown,
            })
    }
}
