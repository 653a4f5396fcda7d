// Sets the options of listening sockets.
#include "socketbuffers.h"

#include "log.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace KingCupLadder {

void limitSocketBuffers(int listeningSocket, std::size_t bytes)
{
    const int size = static_cast<int>(bytes);
    for (const int option : {SO_RCVBUF, SO_SNDBUF}) {
        if (setsockopt(listeningSocket, SOL_SOCKET, option, &size, sizeof(size)) != 0) {
            logLine(LogComponent::Http, LogLevel::Warning, std::string("the sockets' buffers keep their default sizes: ") + std::strerror(errno));
        }
    }
}

} // namespace KingCupLadder
