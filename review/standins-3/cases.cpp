// The cases of the third review that are scripts: review-cases CASE PROGRAM FOLDER RECORD. Ends with 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run. TROUBLE=0 in the environment leaves out the disruption.
#include "world.h"

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace Review;

namespace {

constexpr int broken = 1;
constexpr int held = 0;
constexpr int couldNotRun = 2;

struct Setup {
    Record &record;
    std::string program;
    std::string folder;
    bool trouble = true;
};

int fail(Record &record, const std::string &why)
{
    record.line("the case couldn't run: " + why);
    return couldNotRun;
}

#include "settingschange.inc"

#include "lateworkerrecord.inc"

#include "suspectwaits.inc"

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        return couldNotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argv[4]);
    const char *trouble = std::getenv("TROUBLE");
    const Setup setup{record, argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
    const std::string name = argv[1];
    int result = couldNotRun;
    if (name == "settings") {
        result = settingsChange(setup);
    }
    if (name == "late-worker-record") {
        result = lateWorkerRecord(setup);
    }
    if (name == "suspect-waits") {
        result = suspectWaits(setup);
    }
    record.line("result: " + std::to_string(result));
    std::cout << name << ": " << (result == broken ? "broken" : result == held ? "held" : "couldn't run") << std::endl;
    std::_Exit(result); // The threads of the servers may still be waiting.
}
