// Reads /proc. Sockets that wait to be accepted belong to no process yet, so sockets are found by their own address.
#include "processuse.h"

#include "daemon/httptypes.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace KingCupLadder::LimitsTest {

namespace {

constexpr std::uint64_t kibibyte = 1024;
constexpr double bytesPerMb = 1024.0 * 1024;

/// The address of an IPv4 socket as the kernel writes it in /proc/net/tcp.
std::string kernelText(const std::string &address)
{
    const auto parsed = parseSocketAddress(address);
    in_addr host{};
    inet_pton(AF_INET, parsed->host.c_str(), &host);
    std::array<char, sizeof("7F000001:1F90")> text{};
    std::snprintf(text.data(), text.size(), "%08X:%04X", host.s_addr, static_cast<unsigned>(parsed->port));
    return text.data();
}

} // namespace

ProcessUse::ProcessUse(pid_t process, const std::set<std::string> &addresses) : m_process(process)
{
    std::transform(addresses.begin(), addresses.end(), std::inserter(m_localAddresses, m_localAddresses.end()), kernelText);
}

ProcessUse::QueuedBytes ProcessUse::queuedBytes() const
{
    QueuedBytes sum;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // The names of the columns.
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // "toSend:toRead", both hexadecimal.
        columns >> number >> local >> remote >> state >> queues;
        const std::string listening = "0A"; // Its second number counts connections.
        const std::size_t colon = queues.find(':');
        if (state != listening && colon != std::string::npos && m_localAddresses.count(local) > 0) {
            constexpr int hexadecimal = 16;
            sum.toSend += std::strtoull(queues.c_str(), nullptr, hexadecimal);
            sum.toRead += std::strtoull(queues.c_str() + colon + 1, nullptr, hexadecimal);
        }
    }
    return sum;
}

std::uint64_t ProcessUse::residentBytes(const std::string &field) const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(field + ":", 0) == 0) {
            return std::strtoull(line.c_str() + field.size() + 1, nullptr, 10) * kibibyte;
        }
    }
    return 0;
}

void ProcessUse::sample()
{
    const QueuedBytes queued = queuedBytes();
    m_peakResident = std::max(m_peakResident, residentBytes("VmHWM"));
    m_peakBytes = std::max({m_peakBytes, m_peakResident, residentBytes("VmRSS") + queued.toRead + queued.toSend});
    m_peakQueued.toRead = std::max(m_peakQueued.toRead, queued.toRead);
    m_peakQueued.toSend = std::max(m_peakQueued.toSend, queued.toSend);
    std::error_code error; // The process may be gone, which the tests check separately.
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process) + "/fd", error);
    const std::filesystem::directory_iterator end;
    std::size_t count = 0;
    for (auto entry = entries; !error && entry != end; entry.increment(error)) {
        ++count;
    }
    m_peakDescriptors = std::max(m_peakDescriptors, count);
}

double ProcessUse::peakMemoryMb() const
{
    return static_cast<double>(m_peakBytes) / bytesPerMb;
}

std::size_t ProcessUse::peakDescriptors() const
{
    return m_peakDescriptors;
}

std::string ProcessUse::text() const
{
    std::ostringstream text;
    text << "peak " << peakMemoryMb() << " MB in all (" << static_cast<double>(m_peakResident) / bytesPerMb << " MB resident, "
         << static_cast<double>(m_peakQueued.toRead) / bytesPerMb << " MB received and not read, " << static_cast<double>(m_peakQueued.toSend) / bytesPerMb
         << " MB to be sent), " << m_peakDescriptors << " descriptors";
    return text.str();
}

} // namespace KingCupLadder::LimitsTest
