//! Messages from the endpoints to the control thread, and their replies.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_trait::async_trait;
use filbertwheel_core::{
    Claim, CommandId, Difference, Edit, Heartbeat, HeartbeatReply, Text, Tokens,
};
use filbertwheel_operator::{Command, CommandError, CommandHandler, CommandRequest, Reply, View};
use filbertwheel_peer::{ControlError, ControlHandler};
use smol::LocalExecutor;

use crate::control::config::{commit, invalid_edit, refresh};
use crate::control::show::{refusals, show};
use crate::control::{Control, Message, claim_token, serve_claim};
use crate::metrics::Metrics;
use crate::snapshot::SharedSnapshot;

/// Columns of a dry run's table.
const DRY_RUN_COLUMNS: [&str; 4] = ["kind", "name", "before", "after"];

/// Sends messages from traffic threads to the control thread and waits for the replies.
#[derive(Debug)]
pub(crate) struct ControlSender {
    pub control: Sender<Message>,
    pub metrics: Arc<Metrics>,
    pub snapshots: SharedSnapshot,
    pub clock: Arc<dyn filbertwheel_core::Clock>,
}

#[async_trait]
impl ControlHandler for ControlSender {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<HeartbeatReply, ControlError> {
        let (reply, response) = async_channel::bounded(1);
        let sent = self
            .control
            .send(Message::Heartbeat(Box::new(heartbeat), reply))
            .await;
        sent.map_err(|_| ControlError::Stopping)?;
        response.recv().await.map_err(|_| ControlError::Stopping)?
    }

    async fn claim(&self, claim: Claim) -> Result<Tokens, ControlError> {
        let (reply, response) = async_channel::bounded(1);
        let sent = self.control.send(Message::Claim(claim, reply)).await;
        sent.map_err(|_| ControlError::Stopping)?;
        response.recv().await.map_err(|_| ControlError::Stopping)?
    }
}

#[async_trait]
impl CommandHandler for ControlSender {
    async fn run(&self, request: CommandRequest) -> Result<Reply, CommandError> {
        if let Command::Show(query) = &request.command
            && query.view == View::Refusals
        {
            return Ok(refusals(&self.metrics, query));
        }
        let (reply, response) = async_channel::bounded(1);
        let sent = self.control.send(Message::Command(request, reply)).await;
        sent.map_err(|_| CommandError::Stopping)?;
        // The control thread has received the command, so the change may have been committed.
        response.recv().await.map_err(|_| CommandError::Unknown)?
    }

    fn metrics(&self) -> String {
        self.metrics.text()
    }

    fn is_healthy(&self) -> bool {
        self.snapshots.load().is_current(self.clock.now())
    }
}

/// Handles messages from traffic threads for as long as the node runs.
pub(crate) async fn handle_messages(
    control: Rc<RefCell<Control>>,
    messages: Receiver<Message>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok(message) = messages.recv().await {
        match message {
            Message::Announce(announcement) => control.borrow_mut().announce(&announcement),
            Message::Heartbeat(heartbeat, reply) => {
                let _closed = reply.try_send(control.borrow_mut().handle_heartbeat(&heartbeat));
            }
            Message::Claim(claim, reply) => {
                let control = Rc::clone(&control);
                executor.spawn(serve_claim(control, claim, reply)).detach();
            }
            Message::ClaimToken {
                organisation,
                deadline,
                reply,
            } => {
                let control = Rc::clone(&control);
                executor
                    .spawn(claim_token(control, organisation, deadline, reply))
                    .detach();
            }
            Message::Command(request, reply) => {
                let control = Rc::clone(&control);
                executor
                    .spawn(run_command(control, request, reply))
                    .detach();
            }
        }
    }
}

async fn run_command(
    control: Rc<RefCell<Control>>,
    request: CommandRequest,
    reply: Sender<Result<Reply, CommandError>>,
) {
    let outcome = match request.command {
        Command::Show(query) => show(&control.borrow(), &query),
        Command::Rehearse(command) => dry_run(&control, *command).await,
        command => commit_edit(&control, request.id, command).await,
    };
    let _closed = reply.try_send(outcome);
}

async fn commit_edit(
    control: &Rc<RefCell<Control>>,
    id: CommandId,
    command: Command,
) -> Result<Reply, CommandError> {
    let edit = edit_for(&control.borrow(), command)?;
    commit(control, id, edit).await
}

/// Converts a command to an edit of the configuration.
fn edit_for(control: &Control, command: Command) -> Result<Edit, CommandError> {
    match command {
        Command::Edit(edit) => Ok(edit),
        Command::Drain { vm } => match control.roster().member(&vm) {
            Some(member) => Ok(Edit::DrainVm {
                incarnation: member.incarnation,
                vm,
            }),
            None => Err(CommandError::NoVm { vm }),
        },
        _ => Err(CommandError::Unsupported),
    }
}

/// Returns the changes that a command would make, without making them.
async fn dry_run(control: &Rc<RefCell<Control>>, command: Command) -> Result<Reply, CommandError> {
    refresh(control).await?;
    let control = control.borrow();
    let edit = edit_for(&control, command)?;
    let next = control.config().with_edit(&edit).map_err(invalid_edit)?;
    let rows = control.config().differences(&next).into_iter().map(row);
    Ok(Reply::Rows {
        columns: DRY_RUN_COLUMNS.map(Text::from_static).to_vec(),
        rows: rows.collect(),
    })
}

fn row(difference: Difference) -> Vec<Text> {
    vec![
        Text::from_static(difference.kind),
        difference.name,
        difference.before.unwrap_or_default(),
        difference.after.unwrap_or_default(),
    ]
}
