// Memory and descriptors that a daemon's process uses, with the bytes that its sockets hold in the kernel.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include <sys/types.h>

namespace KingCupLadder::LimitsTest {

/// Keeps the peaks of its samples.
class ProcessUse
{
public:
    /// Counts the sockets whose own address is one of @p addresses, each "ip:port".
    ProcessUse(pid_t process, const std::set<std::string> &addresses);

    void sample();
    /// Largest sum of resident memory and of the bytes that wait in the kernel to be read or to be sent.
    [[nodiscard]] double peakMemoryMb() const;
    [[nodiscard]] std::size_t peakDescriptors() const;
    /// "peak 12 MB resident, 3 MB received and not read, ..."
    [[nodiscard]] std::string text() const;

private:
    struct QueuedBytes {
        std::uint64_t toRead = 0;
        std::uint64_t toSend = 0;
    };

    [[nodiscard]] QueuedBytes queuedBytes() const;
    /// Returns "VmRSS", the resident memory, or "VmHWM", its peak; 0 if the process has ended.
    [[nodiscard]] std::uint64_t residentBytes(const std::string &field) const;

    pid_t m_process;
    std::set<std::string> m_localAddresses; ///< As /proc/net/tcp writes them.
    std::uint64_t m_peakBytes = 0;
    std::uint64_t m_peakResident = 0;
    QueuedBytes m_peakQueued;
    std::size_t m_peakDescriptors = 0;
};

} // namespace KingCupLadder::LimitsTest
