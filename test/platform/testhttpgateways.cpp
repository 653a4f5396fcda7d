#include "daemon/httpfrontend.h"
#include "httpgateways.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const char workerAddress[] = "127.0.0.1:17331";

} // namespace

TEST_GROUP(HttpWorkerGateway)
{
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    HttpRequest lastRequest;
    HttpResponse answer;
    std::unique_ptr<HttpFrontend> worker;
    std::unique_ptr<HttpWorkerGateway> gateway = std::make_unique<HttpWorkerGateway>(*loop);

    void setup() override
    {
        HttpFrontendSettings settings;
        settings.address = workerAddress;
        worker = std::move(HttpFrontend::create(*loop, settings, [this](const HttpCallPtr &call) {
                     lastRequest = call->request();
                     call->respond(answer);
                 })).value();
    }

    OrderAnswer start(const StartOrder &order)
    {
        std::optional<OrderAnswer> result;
        gateway->start(order, Epoch(3), [&result](const OrderAnswer &got) { result = got; });
        while (!result) {
            loop->runOnce();
        }
        return *result;
    }

    [[nodiscard]] StartOrder order() const
    {
        StartOrder order;
        order.worker = WorkerId("i-7");
        order.address = workerAddress;
        order.task = TaskRef{StepRef{JobId("job"), 0, 1}, 2};
        order.run = RunNumber(4);
        order.deadline = 900;
        return order;
    }
};

// Guards against starting a task on a different worker that took over the intended worker's address.
TEST(HttpWorkerGateway, SendsTheIdOfTheIntendedWorker)
{
    answer = jsonResponse(httpOk, "{\"clock_ms\":800}");
    const OrderAnswer result = start(order());
    CHECK_TRUE(result.outcome == OrderOutcome::Done);
    CHECK_EQUAL(800, result.clock);
    STRCMP_EQUAL("i-7", headerValue(lastRequest.headers, "X-Expect-Instance").c_str());
}

// Guards against treating a refusal by a different worker as one by the intended worker. Status 421 means that the receiver does not have
// the ID in X-Expect-Instance.
TEST(HttpWorkerGateway, DetectsAnAnswerFromAnotherWorker)
{
    answer = jsonResponse(421, "{}");
    CHECK_TRUE(start(order()).outcome == OrderOutcome::OtherIncarnation);
}
