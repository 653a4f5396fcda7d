// JSON format of allotment rows and the computation of shares.
#include "allotmentrow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace KingCupLadder {

namespace {

using Json = nlohmann::json;

Json toJson(const Resources &amount)
{
    return Json{{"milliCores", amount.cpu.value()},
                {"memoryMiB", amount.memory.value()},
                {"accelerators", amount.accelerators.value()},
                {"slots", amount.slots.value()}};
}

std::optional<std::int64_t> readNonNegative(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    const auto value = found->get<std::int64_t>();
    return value >= 0 ? std::optional<std::int64_t>(value) : std::nullopt;
}

std::optional<Resources> resourcesOf(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto cpu = readNonNegative(object, "milliCores");
    const auto memory = readNonNegative(object, "memoryMiB");
    const auto accelerators = readNonNegative(object, "accelerators");
    const auto slots = readNonNegative(object, "slots");
    if (!cpu || !memory || !accelerators || !slots) {
        return std::nullopt;
    }
    return Resources{MilliCores(*cpu), MebiBytes(*memory), Accelerators(*accelerators), Slots(*slots)};
}

/// Applies a function to each component.
template<typename Function, typename... Vectors>
Resources eachComponent(Function function, const Vectors &...vectors)
{
    return Resources{MilliCores(function(vectors.cpu.value()...)),
                     MebiBytes(function(vectors.memory.value()...)),
                     Accelerators(function(vectors.accelerators.value()...)),
                     Slots(function(vectors.slots.value()...))};
}

/// Divides one component, smallest demands first: each shard gets its demand, but at most an equal part of what is left.
std::vector<std::int64_t> maxMinFairSharesOfComponent(std::int64_t limit, const std::vector<std::int64_t> &wanted)
{
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&wanted](std::size_t a, std::size_t b) { return wanted[a] < wanted[b]; });
    std::vector<std::int64_t> shares(wanted.size(), 0);
    std::int64_t remaining = limit;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const std::int64_t equalShare = remaining / static_cast<std::int64_t>(order.size() - i);
        const std::int64_t share = std::min(wanted[order[i]], equalShare);
        shares[order[i]] = share;
        remaining -= share;
    }
    return shares;
}

/// Applies maxMinFairSharesOfComponent() to the component that @p get reads from Resources.
template<typename Get>
std::vector<std::int64_t> divideComponent(const Resources &limit, const std::vector<Resources> &wanted, Get get)
{
    std::vector<std::int64_t> numbers;
    numbers.reserve(wanted.size());
    for (const Resources &demand : wanted) {
        numbers.push_back(get(demand));
    }
    return maxMinFairSharesOfComponent(get(limit), numbers);
}

} // namespace

std::string allotmentsToJson(const AllotmentEntries &entries)
{
    Json row = Json::object();
    for (const auto &[shard, entry] : entries) {
        Json member = toJson(entry.allotment);
        member["wanted"] = toJson(entry.wanted);
        row[shard.value()] = std::move(member);
    }
    return row.dump();
}

std::optional<AllotmentEntries> allotmentsFromJson(const std::string &text)
{
    AllotmentEntries entries;
    if (text.empty()) {
        return entries;
    }
    const Json row = Json::parse(text, nullptr, false);
    if (!row.is_object()) {
        return std::nullopt;
    }
    for (const auto &[shard, member] : row.items()) {
        const auto allotment = resourcesOf(member);
        const auto wanted = member.contains("wanted") ? resourcesOf(member["wanted"]) : allotment;
        if (!allotment || !wanted) {
            return std::nullopt;
        }
        entries.emplace(ShardId(shard), AllotmentEntry{*allotment, *wanted});
    }
    return entries;
}

Resources totalAllotment(const AllotmentEntries &entries)
{
    Resources sum;
    for (const auto &entry : entries) {
        sum += entry.second.allotment;
    }
    return sum;
}

std::vector<Resources> maxMinFairShares(const Resources &limit, const std::vector<Resources> &wanted)
{
    const auto cpu = divideComponent(limit, wanted, [](const Resources &r) { return r.cpu.value(); });
    const auto memory = divideComponent(limit, wanted, [](const Resources &r) { return r.memory.value(); });
    const auto accelerators = divideComponent(limit, wanted, [](const Resources &r) { return r.accelerators.value(); });
    const auto slots = divideComponent(limit, wanted, [](const Resources &r) { return r.slots.value(); });
    std::vector<Resources> shares;
    shares.reserve(wanted.size());
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        shares.push_back(Resources{MilliCores(cpu[i]), MebiBytes(memory[i]), Accelerators(accelerators[i]), Slots(slots[i])});
    }
    return shares;
}

Resources scaledDown(const Resources &amount, const Resources &part, const Resources &whole)
{
    return eachComponent(
        [](std::int64_t a, std::int64_t p, std::int64_t w) {
            // Uses long double, because a x p can overflow 64 bits for large limits.
            return w > p ? static_cast<std::int64_t>(static_cast<long double>(a) * static_cast<long double>(p) / static_cast<long double>(w)) : a;
        },
        amount,
        part,
        whole);
}

} // namespace KingCupLadder
