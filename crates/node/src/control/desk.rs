//! The control thread's side of the doors: messages in, replies out.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_trait::async_trait;
use filbertwheel_core::{Beat, Claim, Pulse, Text, Tokens};
use filbertwheel_operator::{Command, CommandError, Desk, Order, Query, Reply};
use filbertwheel_peer::{ControlSink, SinkError};
use smol::LocalExecutor;

use crate::control::config::commit;
use crate::control::{Control, Message, answer_claim, serve_claims};
use crate::metrics::Metrics;
use crate::snapshot::Board;

/// Passes messages from traffic threads to the control thread.
#[derive(Debug)]
pub(crate) struct ControlDesk {
    pub control: Sender<Message>,
    pub metrics: Arc<Metrics>,
    pub board: Board,
    pub clock: Arc<dyn filbertwheel_core::Clock>,
}

#[async_trait]
impl ControlSink for ControlDesk {
    async fn beat(&self, beat: Beat) -> Result<Pulse, SinkError> {
        let (reply, answer) = async_channel::bounded(1);
        let sent = self
            .control
            .send(Message::Beat(Box::new(beat), reply))
            .await;
        sent.map_err(|_| SinkError::Stopping)?;
        answer.recv().await.map_err(|_| SinkError::Stopping)?
    }

    async fn claim(&self, claim: Claim) -> Result<Tokens, SinkError> {
        let (reply, answer) = async_channel::bounded(1);
        let sent = self.control.send(Message::Claim(claim, reply)).await;
        sent.map_err(|_| SinkError::Stopping)?;
        answer.recv().await.map_err(|_| SinkError::Stopping)?
    }
}

#[async_trait]
impl Desk for ControlDesk {
    async fn run(&self, order: Order) -> Result<Reply, CommandError> {
        let (reply, answer) = async_channel::bounded(1);
        let sent = self.control.send(Message::Order(order, reply)).await;
        sent.map_err(|_| CommandError::Stopping)?;
        answer.recv().await.map_err(|_| CommandError::Stopping)?
    }

    fn metrics(&self) -> String {
        self.metrics.text()
    }

    fn is_healthy(&self) -> bool {
        self.board.load().is_current(self.clock.now())
    }
}

/// Takes messages for as long as the node runs.
pub(crate) async fn take_messages(
    control: Rc<RefCell<Control>>,
    messages: Receiver<Message>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok(message) = messages.recv().await {
        match message {
            Message::Announce(announcement) => control.borrow_mut().announce(&announcement),
            Message::Beat(beat, reply) => {
                let _gone = reply.try_send(control.borrow_mut().take_beat(&beat));
            }
            Message::Claim(claim, reply) => {
                let control = Rc::clone(&control);
                executor.spawn(answer_claim(control, claim, reply)).detach();
            }
            Message::Want {
                organisation,
                deadline,
                reply,
            } => {
                let control = Rc::clone(&control);
                executor
                    .spawn(serve_claims(control, organisation, deadline, reply))
                    .detach();
            }
            Message::Order(order, reply) => {
                let control = Rc::clone(&control);
                executor.spawn(carry_out(control, order, reply)).detach();
            }
        }
    }
}

async fn carry_out(
    control: Rc<RefCell<Control>>,
    order: Order,
    reply: Sender<Result<Reply, CommandError>>,
) {
    let outcome = match order.command {
        Command::Edit(edit) => commit(&control, order.id, edit).await,
        Command::Show(query) => Ok(show(&control.borrow(), query)),
    };
    let _gone = reply.try_send(outcome);
}

fn show(control: &Control, query: Query) -> Reply {
    let config = control.config();
    let (columns, rows): (&[&'static str], Vec<Vec<Text>>) = match query {
        Query::Organisations => (
            &["organisation", "rate", "burst"],
            config
                .organisations
                .iter()
                .map(|(name, one)| vec![name.clone(), text(one.limit.rate), text(one.limit.burst)])
                .collect(),
        ),
        Query::Keys => (
            &["hash", "organisation"],
            config
                .keys
                .iter()
                .map(|(hash, key)| vec![hash.clone(), key.organisation.clone()])
                .collect(),
        ),
        Query::Routes => (
            &[
                "route",
                "service",
                "prefix",
                "criticality",
                "idempotent",
                "open",
            ],
            config
                .routes
                .iter()
                .map(|(name, route)| {
                    vec![
                        name.clone(),
                        route.service.clone(),
                        route.prefix.clone(),
                        format!("{:?}", route.criticality).to_lowercase().into(),
                        text(route.idempotent),
                        text(route.open),
                    ]
                })
                .collect(),
        ),
        Query::Members => (
            &["vm", "domain", "service", "status", "address"],
            control
                .roster()
                .members()
                .map(|member| {
                    vec![
                        member.vm.clone(),
                        member.domain.clone(),
                        member.service.clone().unwrap_or_default(),
                        format!("{:?}", member.status).to_lowercase().into(),
                        text(member.address),
                    ]
                })
                .collect(),
        ),
        Query::Status => (
            &["vm", "root", "fence", "config"],
            vec![vec![
                control.me().vm.clone(),
                text(control.is_root()),
                text(control.fence()),
                text(config.version),
            ]],
        ),
    };
    Reply::Rows {
        columns: columns.iter().copied().map(Text::from_static).collect(),
        rows,
    }
}

fn text(value: impl ToString) -> Text {
    value.to_string().into()
}
