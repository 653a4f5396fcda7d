// kingcupladderctl: the command-line client with the real network, environment, clock and table validation.
#include "cli.h"

#include "core/tables.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

using namespace KingCupLadder;

namespace {

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr || *value == '\0' ? std::nullopt : std::optional<std::string>(value);
}

std::vector<Ctl::TableIssue> checkTables(const std::string &routes, const std::string &pools)
{
    std::vector<Ctl::TableIssue> issues;
    for (const TableProblem &problem : Tables::parse(routes, pools).problems) {
        issues.push_back({problem.document, problem.line, problem.message, problem.remedy});
    }
    return issues;
}

std::string generateId()
{
    std::random_device device;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
    return text.data();
}

TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

int main(int argc, char **argv)
{
    Ctl::Dependencies dependencies{
        Ctl::libeventTransport,
        environmentVariable,
        now,
        [](Duration span) { std::this_thread::sleep_for(span); },
        checkTables,
        generateId,
        std::cout,
        std::cerr,
    };
    try {
        return Ctl::runCommandLine(std::vector<std::string>(argv + 1, argv + argc), dependencies);
    } catch (const std::exception &error) {
        std::cerr << "error: unexpected response: " << error.what() << "; check that all daemons and this program have the same version\n";
        return static_cast<int>(Ctl::ExitCode::Refused);
    }
}
