// Fake fleet for tests of the command-line client. It returns predefined responses and records the requests.
#pragma once

#include "ctl/cli.h"

#include <map>
#include <sstream>

namespace KingCupLadder::Ctl {

class FakeFleet
{
public:
    /// Defines the response to @p request, "METHOD target", of the daemon at @p address, or of every daemon if @p address is empty.
    /// Status 0 means that the request was sent but its response was lost. A request without a definition finds no connection.
    void respond(const std::string &request, int status, const std::string &body, const std::string &address = {})
    {
        m_responses[{address, request}] = HttpOutcome{status, body, true, "the connection ended"};
    }

    /// Runs the command line against the daemons d1:1 and d2:1 and returns its exit code.
    int run(const std::vector<std::string> &arguments)
    {
        out.str("");
        err.str("");
        Dependencies dependencies{[this](Duration, const ProgressCallback &) { return Transport([this](const HttpCall &call) { return handle(call); }); },
                                  [this](const std::string &name) {
                                      const auto found = environment.find(name);
                                      return found == environment.end() ? std::nullopt : std::optional(found->second);
                                  },
                                  [this] { return m_now; },
                                  [this](Duration span) { m_now += span; },
                                  [this](const std::string &, const std::string &) { return issues; },
                                  [] { return std::string("made-up"); },
                                  out,
                                  err};
        return runCommandLine(arguments, dependencies);
    }

    std::map<std::string, std::string> environment{{"KINGCUPLADDER_DAEMONS", "d1:1,d2:1"}};
    std::vector<TableIssue> issues;
    std::vector<HttpCall> calls;
    std::ostringstream out;
    std::ostringstream err;

private:
    HttpOutcome handle(const HttpCall &call)
    {
        calls.push_back(call);
        for (const std::string &address : {call.address, std::string()}) {
            const auto found = m_responses.find({address, call.method + " " + call.target});
            if (found != m_responses.end()) {
                return found->second;
            }
        }
        return HttpOutcome{0, {}, false, "no connection"};
    }

    std::map<std::pair<std::string, std::string>, HttpOutcome> m_responses;
    TimePoint m_now{Duration(1000)};
};

} // namespace KingCupLadder::Ctl
