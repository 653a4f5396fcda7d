#include "eventloophelpers.h"
#include "memorytablestore.h"
#include "node/node.h"
#include "nodesettings.h"
#include "silentgateways.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

PlatformCodec emptyCodec()
{
    PlatformCodec codec;
    codec.decodeConfig = [](const std::string &) { return Result<CellConfig>(CellConfig{}); };
    codec.decodeWorker = [](const std::string &, const std::string &) { return std::optional<WorkerInfo>(); };
    codec.configTable = "config";
    codec.configKey = "config";
    codec.workerTable = "workers";
    return codec;
}

} // namespace

TEST_GROUP(Node)
{
    void setup() override
    {
        // ZeroMQ threads free memory after a test has ended, so leaks of this group are detected by the sanitizer build instead.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    MemoryTableStore store{*loop};
    NoWorkers workers;
    NoAdvice advice;

    std::unique_ptr<Node> start(const std::string &id, int firstPort)
    {
        return std::move(Node::create(*loop, nodeSettingsAt(id, firstPort), emptyCodec(), store, workers, advice)).value();
    }
};

// Guards against a leader that never learns of daemons that started after it and gives them no work. This happens when all daemons start at
// the same time and the first one leads before the others are registered.
TEST(Node, TheLeaderFindsADaemonThatStartedLater)
{
    const auto leader = start("d1", 17341);
    runFor(*loop, Duration(700));
    CHECK_TRUE(leader->metrics().find("kingcupladder_leader 1") != std::string::npos);
    const auto later = start("d2", 17351);
    runFor(*loop, Duration(4000));
    CHECK_TRUE(leader->metrics().find("kingcupladder_members_live 1") != std::string::npos);
}
