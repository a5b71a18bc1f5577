//! A stand-in for the table service and the object store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use filbertwheel_core::{Clock, Text, message};
use filbertwheel_http::{Handler, LocalFuture, Request, Response};
use filbertwheel_platform::{
    CommitReply, CommitRequest, MemoryObjects, MemoryTable, Objects as _, PlatformError,
    ReadRequest, RowsReply, ScanRequest, Table as _,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Start of the paths of objects.
const OBJECT_PREFIX: &str = "/objects/";

/// How the stand-in behaves. Body of `POST /fault`.
#[message]
#[derive(Copy, Default, Eq)]
#[serde(default)]
pub struct PlatformFault {
    /// Requests are turned down before anything is done.
    pub down: bool,
    /// Requests are turned down once this many more were served.
    pub down_after: Option<u32>,
    /// Changes are carried out, but their answers are lost.
    pub lose_answers: bool,
    /// Milliseconds that each request takes.
    pub delay_ms: u64,
}

/// The stand-in.
#[derive(Debug)]
pub struct PlatformStandin {
    table: MemoryTable,
    objects: MemoryObjects,
    fault: Mutex<PlatformFault>,
    clock: Arc<dyn Clock>,
}

impl PlatformStandin {
    /// An empty platform without faults.
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        let (table, objects) = (MemoryTable::default(), MemoryObjects::default());
        Self {
            table,
            objects,
            fault: Mutex::default(),
            clock,
        }
    }

    async fn serve(&self, request: &Request) -> Response {
        match request.path.as_str().unwrap_or_default() {
            "/table/read" => match parse::<ReadRequest>(request) {
                Some(ReadRequest { key }) => {
                    let found = self.table.read(&key).await;
                    rows(found.map(|row| row.into_iter().collect()))
                }
                None => malformed(),
            },
            "/table/scan" => match parse::<ScanRequest>(request) {
                Some(ScanRequest { prefix, after }) => rows(self.table.scan(&prefix, &after).await),
                None => malformed(),
            },
            "/table/commit" => match parse::<CommitRequest>(request) {
                Some(CommitRequest { writes }) => committed(self.table.commit(writes).await),
                None => malformed(),
            },
            path => match path.strip_prefix(OBJECT_PREFIX) {
                Some(key) => self.object(&key.into(), request).await,
                None => Response::new(404, ""),
            },
        }
    }

    async fn object(&self, key: &Text, request: &Request) -> Response {
        if request.method.as_bytes() == b"GET" {
            return match self.objects.get(key).await {
                Ok(Some(object)) => Response::new(200, object),
                _ => Response::new(404, ""),
            };
        }
        if request.method.as_bytes() == b"DELETE" {
            let _removed = self.objects.remove(key).await;
            return Response::new(200, "");
        }
        let _stored = self.objects.put(key, request.body.clone()).await;
        Response::new(200, "")
    }

    /// How the stand-in behaves towards the next request.
    fn next_fault(&self) -> PlatformFault {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(left) = &mut fault.down_after {
            match left.checked_sub(1) {
                Some(fewer) => *left = fewer,
                None => fault.down = true,
            }
        }
        *fault
    }

    fn set_fault(&self, request: &Request) -> Response {
        let Some(fault) = parse(request) else {
            return malformed();
        };
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        Response::new(200, "")
    }
}

impl Handler for PlatformStandin {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            if request.path.as_bytes() == b"/fault" {
                return self.set_fault(&request);
            }
            let fault = self.next_fault();
            if fault.delay_ms > 0 {
                self.clock
                    .sleep(Duration::from_millis(fault.delay_ms))
                    .await;
            }
            if fault.down {
                return Response::new(503, "");
            }
            let response = self.serve(&request).await;
            if fault.lose_answers && is_change(&request) {
                Response::new(504, "")
            } else {
                response
            }
        })
    }
}

fn is_change(request: &Request) -> bool {
    request.path.as_bytes() == b"/table/commit" || request.method.as_bytes() == b"PUT"
}

fn rows(found: Result<Vec<filbertwheel_platform::Row>, PlatformError>) -> Response {
    match found {
        Ok(rows) => json(&RowsReply { rows }),
        Err(_) => Response::new(500, ""),
    }
}

fn committed(outcome: Result<(), PlatformError>) -> Response {
    match outcome {
        Ok(()) => json(&CommitReply::Committed),
        Err(PlatformError::Conflict { key, version }) => {
            json(&CommitReply::Conflict { key, version })
        }
        Err(_) => Response::new(500, ""),
    }
}

fn json(reply: &impl Serialize) -> Response {
    Response::new(200, serde_json::to_vec(reply).unwrap_or_default())
}

fn parse<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(&request.body).ok()
}

fn malformed() -> Response {
    Response::new(400, "the body is malformed")
}
