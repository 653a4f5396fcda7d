// Tests of the shares of workspaces in the requests that are being handled.
#include "node/workspaceshares.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const WorkspaceId museum("museum");
const WorkspaceId school("school");

} // namespace

TEST_GROUP(WorkspaceShares)
{
    std::unique_ptr<WorkspaceShares> shares = std::make_unique<WorkspaceShares>(WorkspaceShareLimits{2, 100});
};

// Guards against a workspace whose requests occupy all connections.
TEST(WorkspaceShares, RejectsARequestBeyondTheNumber)
{
    const auto first = shares->begin(museum, 0);
    const auto second = shares->begin(museum, 0);
    CHECK_TRUE(first != nullptr && second != nullptr);
    CHECK_TRUE(shares->begin(museum, 0) == nullptr);
}

// Guards against a workspace whose bodies use up the memory for all requests.
TEST(WorkspaceShares, RejectsARequestBeyondTheBytes)
{
    const auto first = shares->begin(museum, 60);
    CHECK_TRUE(shares->begin(museum, 41) == nullptr);
    CHECK_TRUE(shares->begin(museum, 40) != nullptr);
}

// Guards against a share that is smaller than a request within the limits.
TEST(WorkspaceShares, AcceptsASingleRequestOfAnySize)
{
    CHECK_TRUE(shares->begin(museum, 1000) != nullptr);
}

// Guards against workspaces that are rejected because of another one.
TEST(WorkspaceShares, CountsEachWorkspaceByItself)
{
    const auto first = shares->begin(museum, 100);
    const auto second = shares->begin(museum, 0);
    CHECK_TRUE(shares->begin(school, 100) != nullptr);
    CHECK_TRUE(shares->begin(WorkspaceId(), 100) != nullptr);
}

// Guards against a share that stays used up after the requests have ended.
TEST(WorkspaceShares, ReturnsTheShareOfARequestThatHasEnded)
{
    auto first = shares->begin(museum, 100);
    const auto second = shares->begin(museum, 0);
    first.reset();
    CHECK_TRUE(shares->begin(museum, 100) != nullptr);
}

// Guards against a use of freed memory by requests that end after the daemon's objects.
TEST(WorkspaceShares, ARequestMayEndLast)
{
    auto use = shares->begin(museum, 100);
    shares.reset();
    use.reset();
    CHECK_TRUE(use == nullptr);
}
