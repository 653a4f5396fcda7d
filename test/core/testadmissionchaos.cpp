// Two daemons and a store that loses answers, delays writes and goes down, with seeded randomness.
#include "core/admission.h"
#include "fakestore.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <set>

using namespace KingCupLadder;

namespace {

struct Pending {
    TimePoint at{};
    StoreTransact command;
};

/// One seeded run: submissions of overlapping ids and completions, under faults, then a calm end.
class Chaos
{
public:
    explicit Chaos(std::uint64_t seed) : m_random(seed)
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
            if (step < 2500 && below(10)) {
                submitSomething();
            }
            advance(step < 3000);
        }
    }

    std::size_t unanswered() const
    {
        return m_open.size();
    }
    std::size_t pending() const
    {
        return m_daemons[0]->pending() + m_daemons[1]->pending();
    }

    bool acceptedButAbsent = false; ///< A job was accepted and is not in the store.
    bool notRunButSameSpecStored = false; ///< "not run" was answered although that spec is stored.
    std::set<std::string> forwarded;
    std::set<std::string> accepted;

private:
    bool below(unsigned percent)
    {
        return m_random() % 100 < percent;
    }

    void submitSomething()
    {
        JobRecord record;
        record.spec.id = JobId("j" + std::to_string(m_random() % 60));
        record.spec.payload = below(90) ? "same" : "other";
        record.shard = ShardId("p/d/0");
        const OpId op(++m_lastOp);
        m_open[op] = record;
        m_daemons[m_random() % 2]->submit(op, record, m_now);
    }

    void advance(bool faults)
    {
        m_now += Duration(5);
        m_down = faults && (m_down ? !below(1) : m_random() % 400 == 0);
        for (auto late = m_late.begin(); late != m_late.end();) {
            if (late->at <= m_now) {
                (void)m_store.execute(late->command);
                late = m_late.erase(late);
            } else {
                ++late;
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
        if (const auto *write = std::get_if<StoreTransact>(&output)) {
            daemon.onStoreReply(execute(*write, faults), m_now);
        } else if (const auto *read = std::get_if<StoreRead>(&output)) {
            const bool lost = m_down || (faults && below(10));
            daemon.onStoreReply(lost ? StoreReply{read->op, StoreStatus::Unknown, {}} : m_store.execute(*read), m_now);
        } else if (const auto *answer = std::get_if<CallerAnswer>(&output)) {
            check(*answer);
        } else if (const auto *durable = std::get_if<JobStored>(&output)) {
            forwarded.insert(durable->record.spec.id.value());
            daemon.record(durable->record.spec.id, JobState::Succeeded, "", m_now);
        }
    }

    StoreReply execute(const StoreTransact &command, bool faults)
    {
        StoreReply unknown{command.op, StoreStatus::Unknown, {}};
        if (m_down || (faults && below(10))) {
            if (below(60)) {
                m_late.push_back({m_now + Duration(m_random() % 3000), command});
            }
            return unknown;
        }
        const StoreReply real = m_store.execute(command);
        return faults && below(20) ? unknown : real;
    }

    void check(const CallerAnswer &answer)
    {
        const JobRecord record = m_open.at(answer.op);
        m_open.erase(answer.op);
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
    bool m_down = false;
    FakeStore m_store;
    std::vector<Pending> m_late; ///< Writes without an answer that arrive later.
    std::vector<std::unique_ptr<Admission>> m_daemons;
    std::map<OpId, JobRecord> m_open; ///< Submissions without an answer.
};

constexpr std::uint64_t seeds = 12;

} // namespace

TEST_GROUP(AdmissionChaos){template<typename Check> void forEachSeed(Check check){for (std::uint64_t seed = 1; seed <= seeds; ++seed){Chaos chaos(seed);
chaos.run();
check(chaos);
}
}
}
;

// Guards against an accepted job that is not durable.
TEST(AdmissionChaos, StoresEveryAcceptedJob)
{
    forEachSeed([](const Chaos &chaos) { CHECK_FALSE(chaos.acceptedButAbsent); });
}

// Guards against a false "not run".
TEST(AdmissionChaos, NeverAnswersNotRunForAStoredSpec)
{
    forEachSeed([](const Chaos &chaos) { CHECK_FALSE(chaos.notRunButSameSpecStored); });
}

// Guards against accepted jobs that no owner hears of.
TEST(AdmissionChaos, ForwardsEveryAcceptedJob)
{
    forEachSeed([](const Chaos &chaos) {
        for (const std::string &job : chaos.accepted) {
            CHECK_TRUE(chaos.forwarded.count(job) == 1);
        }
    });
}

// Guards against submissions and completions that hang after the faults are over.
TEST(AdmissionChaos, SettlesEverythingOnceTheFaultsEnd)
{
    forEachSeed([](const Chaos &chaos) {
        CHECK_EQUAL(0U, chaos.unanswered());
        CHECK_EQUAL(0U, chaos.pending());
    });
}
