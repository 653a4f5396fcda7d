// Base of the test groups that let a crowd misuse one daemon with lowered limits, and check what does not depend on the machine's speed.
#pragma once

#include "callercrowd.h"
#include "limitedcell.h"
#include "misuses.h"

#include <CppUTest/TestHarness.h>

#include <iostream>

namespace KingCupLadder::LimitsTest {

#ifdef __SANITIZE_ADDRESS__
// The address sanitizer keeps freed memory and shadow memory, so the resident memory says nothing about the daemon.
constexpr bool checksMemory = false;
#else
constexpr bool checksMemory = true;
#endif

class LimitsFixture : public Utest
{
public:
    static constexpr Duration misuseTime{3000};

    explicit LimitsFixture(const CellLimits &limits) : m_limits(limits), cell(limits) { }

    /// Checks that the daemon stays within its limits and serves an ordinary caller, during the misuse and after it.
    void survives(const std::string &address, const Misuse &misuse)
    {
        CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
        std::size_t sent = 0;
        bool isServed = false;
        {
            const CallerCrowd crowd(cell.loop(), address, misuse);
            cell.runFor(misuseTime);
            isServed = cell.submitsJob();
            sent = crowd.bytesSent();
        }
        CHECK_TEXT(cell.isDaemonRunning(), "the daemon has ended");
        staysWithinLimits(sent);
        CHECK_TEXT(isServed, "an ordinary job was not accepted during the misuse");
        CHECK_TEXT(cell.submitsJob(), "an ordinary job was not accepted after the misuse");
    }

    void staysWithinLimits(std::size_t sentBytes) const
    {
        std::cout << cell.use().text() << ", the crowd sent " << sentBytes / (1024UL * 1024) << " MB\n";
        CHECK_TEXT(!checksMemory || cell.use().peakMemoryMb() <= m_limits.memoryMb, "the daemon exceeded its memory");
        CHECK_TEXT(cell.use().peakDescriptors() <= static_cast<std::size_t>(m_limits.descriptors), "the daemon exceeded its descriptors");
    }

private:
    CellLimits m_limits;

public:
    LimitedCell cell;
    const Target jobs{"desk.example", "/jobs/bbbbbbbbbbbbbbbb", "limits-key"};
};

} // namespace KingCupLadder::LimitsTest
