use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::Mutex;

/// A reading of the kernel's table of TCP sockets.
#[derive(Clone, Debug)]
struct Reading {
    /// When it began.
    at: Instant,
    table: Arc<str>,
}

/// Looks up which process has opened a connection, in the kernel's table of TCP sockets and among the
/// open files of the known processes.
#[derive(Clone, Debug, Default)]
pub struct SocketOwners {
    latest: Arc<Mutex<Option<Reading>>>,
}

impl SocketOwners {
    /// Returns which of the processes `pids` has connected from `peer` to `own`, by a table that was
    /// read after `since`. `None` when none is found, which may change with the next reading.
    pub async fn find(
        &self,
        peer: SocketAddr,
        own: SocketAddr,
        since: Instant,
        pids: Vec<u32>,
    ) -> Option<u32> {
        let table = self.table_since(since).await?;
        let owner = move || {
            let inode = socket_inode(&table, peer, own)?;
            pids.into_iter().find(|pid| has_socket(*pid, &inode))
        };
        tokio::task::spawn_blocking(owner).await.ok().flatten()
    }

    /// Returns a table that was read after `since`. Callers that wait share one reading: with many
    /// closed connections the table has tens of thousands of rows, and reading it for each new
    /// connection would take longer than the processes wait before they connect again.
    async fn table_since(&self, since: Instant) -> Option<Arc<str>> {
        let mut latest = self.latest.lock().await;
        if let Some(reading) = latest.as_ref()
            && reading.at >= since
        {
            return Some(reading.table.clone());
        }
        let at = Instant::now();
        let read = tokio::task::spawn_blocking(|| fs::read_to_string("/proc/net/tcp")).await;
        let table: Arc<str> = read.ok()?.ok()?.into();
        *latest = Some(Reading { at, table: table.clone() });
        Some(table)
    }
}

/// Returns the inode of the socket that is connected from `peer` to `own`. A row holds its number,
/// both addresses in hexadecimal digits, seven further columns, and the inode.
fn socket_inode(table: &str, peer: SocketAddr, own: SocketAddr) -> Option<String> {
    let addresses = format!("{} {} ", hexadecimal(peer)?, hexadecimal(own)?);
    let start = table.find(&addresses)? + addresses.len();
    let inode = table[start..].split_whitespace().nth(6)?;
    (inode != "0").then(|| inode.to_owned())
}

/// Returns an address as the table shows it: the IPv4 address as a number in the order of bytes of
/// the machine, and the port.
fn hexadecimal(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn has_socket(pid: u32, inode: &str) -> bool {
    let link = format!("socket:[{inode}]");
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    files
        .flatten()
        .any(|file| fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == &*link))
}
