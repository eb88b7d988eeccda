use std::fs;
use std::net::SocketAddr;

/// Returns which of the processes `pids` has a socket that is bound to `address`.
pub fn find_owner(address: SocketAddr, pids: &[u32]) -> Option<u32> {
    let inode = socket_inode(address)?;
    let link = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| {
        let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        entries.flatten().any(|entry| {
            fs::read_link(entry.path()).is_ok_and(|target| target.as_os_str() == &*link)
        })
    })
}

/// Returns the inode of the socket that is bound to `address`, from the kernel's table of TCP
/// sockets: the second column is the local address, the tenth the inode.
fn socket_inode(address: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let suffix = format!(":{:04X}", address.port());
    table.lines().skip(1).find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let (local, inode) = (columns.get(1)?, columns.get(9)?);
        (local.ends_with(&suffix) && *inode != "0").then(|| (*inode).to_owned())
    })
}
