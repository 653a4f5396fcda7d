// Internal to the shard controller: time-limited grants of request slots to daemons.
#pragma once

#include "shardjobs_p.h"

#include <queue>

namespace KingCupLadder {

class ShardGrants
{
public:
    explicit ShardGrants(ShardState &state);

    [[nodiscard]] Result<Grant> grant(const GrantSpec &spec, TimePoint now);
    void release(const GrantId &id, GrantOutcome outcome, TimePoint now);
    void expire(TimePoint now);

private:
    [[nodiscard]] Result<Grant> refuse(ErrorKind kind, const char *message, const char *remedy);
    [[nodiscard]] const ShardWorker *choose(const Resources &demand, const GrantSpec &spec) const;
    void recordWorkerOutcome(WorkerIndex index, const RouteName &route, GrantOutcome outcome, TimePoint now);

    struct Expiry {
        TimePoint at;
        GrantId id;
        friend bool operator>(const Expiry &a, const Expiry &b)
        {
            return a.at > b.at;
        }
    };

    ShardState &m_state;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
    std::uint64_t m_grantsIssued = 0; ///< Number of grants issued; makes grant ids unique.
};

} // namespace KingCupLadder
