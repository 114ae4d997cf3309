//! The members of a group with synchronous replicas.

use std::{net::SocketAddr, sync::Arc};

use model::Name;
use proxy::{
    catalog::ServerEntry,
    control::group_members::{GroupMember, updated_members},
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn listed(server: &str, port: u16) -> Arc<ServerEntry> {
    Arc::new(ServerEntry {
        server: Name::from(server),
        service: Name::from("s"),
        address: address(port),
        availability_zone: Name::from("z"),
        slots: 1,
        leaving: false,
        claims_primary: false,
        incarnation: None,
    })
}

fn member(server: &str, port: u16) -> GroupMember {
    GroupMember { server: server.to_owned(), address: address(port) }
}

/// Guards against a group that seems smaller than it is, so that too few answers prove which log has every commit.
#[test]
fn a_member_remains_until_another_server_is_listed_at_its_address() {
    let recorded = [member("a", 1), member("b", 2)];
    let cases = [
        (
            "all are listed",
            vec![listed("a", 1), listed("b", 2)],
            vec![member("a", 1), member("b", 2)],
        ),
        ("an entry has lapsed", vec![listed("a", 1)], vec![member("a", 1), member("b", 2)]),
        ("none is listed", vec![], vec![member("a", 1), member("b", 2)]),
        (
            "a server is added",
            vec![listed("c", 3)],
            vec![member("a", 1), member("b", 2), member("c", 3)],
        ),
        (
            "a server takes over a log",
            vec![listed("a", 1), listed("c", 2)],
            vec![member("a", 1), member("c", 2)],
        ),
        (
            "both are listed for a while",
            vec![listed("a", 1), listed("b", 2), listed("c", 2)],
            vec![member("a", 1), member("b", 2), member("c", 2)],
        ),
        ("a server has moved", vec![listed("a", 4)], vec![member("a", 4), member("b", 2)]),
    ];
    for (name, listed, expected) in cases {
        assert_eq!(updated_members(&recorded, &listed), expected, "{name}");
    }
}
