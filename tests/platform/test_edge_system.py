"""The stand-in system that tests of the edge run on."""

from cornelgrade.platform.standins import edge_system

# As many as some systems draw one after the other.
PORTS = 500


# Guards against two servers of a system that get the same port, as none listens when it is drawn.
def test_ports_are_not_drawn_twice():
    ports = [edge_system.free_port() for _ in range(PORTS)]
    assert len(set(ports)) == PORTS
