// Sizes of the buffers that the kernel has for connections.
#pragma once

#include <cstddef>

namespace KingCupLadder {

/// Limits what the kernel holds of each connection that is accepted from a listening socket. Accepted sockets inherit the sizes, and those that
/// wait to be accepted have them too. The kernel reserves twice as much.
void limitSocketBuffers(int listeningSocket, std::size_t bytes);

} // namespace KingCupLadder
