// Fault injection with seeded randomness: two daemons and a store that loses replies, delays writes and becomes unavailable.
#include "core/admission.h"
#include "fakestore.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <set>

using namespace KingCupLadder;

namespace {

struct DelayedWrite {
    TimePoint at{};
    StoreTransaction command;
};

/// One seeded run: submissions with overlapping ids and completions while faults occur, followed by a period without faults.
class AdmissionFaultRun
{
public:
    explicit AdmissionFaultRun(std::uint64_t seed) : m_random(seed)
    {
        for (const char *name : {"a", "b"}) {
            AdmissionSettings settings;
            settings.self = DaemonId(name);
            settings.seed = seed;
            settings.maxRows = 8;
            auto made = Admission::create(
                settings, [this] { return OpId(++m_lastOp); }, m_now);
            m_daemons.push_back(std::move(made).value());
        }
    }

    void run()
    {
        for (int step = 0; step < 4000; ++step) {
            if (step < 2500 && chance(10)) {
                submitRandomJob();
            }
            advance(step < 3000);
        }
    }

    std::size_t unanswered() const
    {
        return m_unanswered.size();
    }
    std::size_t pending() const
    {
        return m_daemons[0]->pending() + m_daemons[1]->pending();
    }

    bool acceptedButAbsent = false; ///< A job was accepted but is not in the store.
    bool notRunButSameSpecStored = false; ///< A submission was answered with "not run" although its spec is stored.
    std::set<std::string> forwarded;
    std::set<std::string> accepted;

private:
    bool chance(unsigned percent)
    {
        return m_random() % 100 < percent;
    }

    void submitRandomJob()
    {
        JobRecord record;
        record.spec.id = JobId("j" + std::to_string(m_random() % 60));
        record.spec.payload = chance(90) ? "same" : "other";
        record.shard = ShardId("p/d/0");
        const OpId op(++m_lastOp);
        m_unanswered[op] = record;
        m_daemons[m_random() % 2]->submit(op, record, m_now);
    }

    void advance(bool faults)
    {
        m_now += Duration(5);
        // While faults are injected, an outage begins with a probability of 1/400 per step and ends with a probability of 1/100 per step.
        m_storeDown = faults && (m_storeDown ? !chance(1) : m_random() % 400 == 0);
        for (auto delayed = m_delayedWrites.begin(); delayed != m_delayedWrites.end();) {
            if (delayed->at <= m_now) {
                (void)m_store.execute(delayed->command);
                delayed = m_delayedWrites.erase(delayed);
            } else {
                ++delayed;
            }
        }
        for (const auto &daemon : m_daemons) {
            daemon->tick(m_now);
            for (const AdmissionOutput &output : daemon->takeOutputs()) {
                handle(*daemon, output, faults);
            }
        }
    }

    void handle(Admission &daemon, const AdmissionOutput &output, bool faults)
    {
        if (const auto *write = std::get_if<StoreTransaction>(&output)) {
            daemon.onStoreReply(execute(*write, faults), m_now);
        } else if (const auto *read = std::get_if<StoreRead>(&output)) {
            const bool lost = m_storeDown || (faults && chance(10));
            daemon.onStoreReply(lost ? StoreReply{read->op, StoreStatus::Unknown, {}} : m_store.execute(*read), m_now);
        } else if (const auto *answer = std::get_if<CallerAnswer>(&output)) {
            recordAnswer(*answer);
        } else if (const auto *durable = std::get_if<JobStored>(&output)) {
            forwarded.insert(durable->record.spec.id.value());
            daemon.updateState(durable->record.spec.id, JobState::Succeeded, "", m_now);
        }
    }

    StoreReply execute(const StoreTransaction &command, bool faults)
    {
        StoreReply unknown{command.op, StoreStatus::Unknown, {}};
        if (m_storeDown || (faults && chance(10))) {
            if (chance(60)) {
                m_delayedWrites.push_back({m_now + Duration(m_random() % 3000), command});
            }
            return unknown;
        }
        const StoreReply real = m_store.execute(command);
        return faults && chance(20) ? unknown : real;
    }

    void recordAnswer(const CallerAnswer &answer)
    {
        const JobRecord record = m_unanswered.at(answer.op);
        m_unanswered.erase(answer.op);
        const auto stored = JobRecord::fromJson(m_store.row("jobs", record.spec.id.value()).value);
        const bool isStored = stored && stored->spec == record.spec;
        if (answer.error.kind == ErrorKind::None) {
            accepted.insert(record.spec.id.value());
            acceptedButAbsent = acceptedButAbsent || !isStored;
        } else {
            notRunButSameSpecStored = notRunButSameSpecStored || (isStored && answer.ran == ExecutionStatus::NotRun);
        }
    }

    std::mt19937_64 m_random;
    TimePoint m_now{Duration(1000)};
    std::uint64_t m_lastOp = 0;
    bool m_storeDown = false;
    FakeStore m_store;
    std::vector<DelayedWrite> m_delayedWrites; ///< Writes without a reply that take effect later.
    std::vector<std::unique_ptr<Admission>> m_daemons;
    std::map<OpId, JobRecord> m_unanswered; ///< Unanswered submissions.
};

constexpr std::uint64_t seeds = 12;

} // namespace

// clang-format takes the body of this test group for an initializer list because of the template.
// clang-format off
TEST_GROUP(AdmissionChaos)
{
    template<typename Check>
    void forEachSeed(Check check)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            AdmissionFaultRun faultRun(seed);
            faultRun.run();
            check(faultRun);
        }
    }
};
// clang-format on

// Guards against an accepted job that is not durable.
TEST(AdmissionChaos, StoresEveryAcceptedJob)
{
    forEachSeed([](const AdmissionFaultRun &faultRun) { CHECK_FALSE(faultRun.acceptedButAbsent); });
}

// Guards against answering "not run" for a job that is stored.
TEST(AdmissionChaos, NeverAnswersNotRunForAStoredSpec)
{
    forEachSeed([](const AdmissionFaultRun &faultRun) { CHECK_FALSE(faultRun.notRunButSameSpecStored); });
}

// Guards against accepted jobs that are never forwarded to an owner.
TEST(AdmissionChaos, ForwardsEveryAcceptedJob)
{
    forEachSeed([](const AdmissionFaultRun &faultRun) {
        for (const std::string &job : faultRun.accepted) {
            CHECK_TRUE(faultRun.forwarded.count(job) == 1);
        }
    });
}

// Guards against submissions and completions that never complete after the faults have ended.
TEST(AdmissionChaos, CompletesEveryOperationOnceTheFaultsEnd)
{
    forEachSeed([](const AdmissionFaultRun &faultRun) {
        CHECK_EQUAL(0U, faultRun.unanswered());
        CHECK_EQUAL(0U, faultRun.pending());
    });
}
