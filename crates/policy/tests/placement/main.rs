//! Where calls go when servers and calls are uneven, with the policies of senders and of the nodes
//! beside the servers, and drawn runs in place of a network.

mod choice;
mod drawn;
mod load;
