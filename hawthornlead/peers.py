"""The public name of the mesh, for programs that embed hawthornlead."""

from .mesh.peers import PeerMesh

__all__ = ["PeerMesh"]
