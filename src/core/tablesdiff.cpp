// Compares tables by the fields of their YAML form.
#include "tablesdiff.h"

#include "quantity.h"

#include <cmath>
#include <map>
#include <set>

namespace KingCupLadder {

namespace {

using Fields = std::map<std::string, std::string>; ///< Values of the set fields, by field name.
using Entries = std::map<std::string, Fields>; ///< By entry name.

void setFieldIf(Fields &fields, const std::string &name, bool isSet, const std::string &value)
{
    if (isSet) {
        fields[name] = value;
    }
}

void setResources(Fields &fields, const std::string &prefix, const Resources &amount)
{
    setFieldIf(fields, prefix + ".cpu", amount.cpu.value() != 0, cpuFormat().format(amount.cpu.value()));
    setFieldIf(fields, prefix + ".memory", amount.memory.value() != 0, memoryFormat().format(amount.memory.value()));
    setFieldIf(fields, prefix + ".accelerators", amount.accelerators.value() != 0, countFormat().format(amount.accelerators.value()));
    setFieldIf(fields, prefix + ".slots", amount.slots.value() != 0, countFormat().format(amount.slots.value()));
}

std::string formatDuration(Duration span)
{
    return durationFormat().format(span.count());
}

Fields fieldsOf(const Route &route)
{
    Fields fields{{"class", toString(route.workClass)}, {"pool", route.pool.value()}, {"priority", toString(route.priority)}};
    fields["partition"] = toString(route.partition);
    setFieldIf(fields, "path", !route.path.empty(), route.path);
    setFieldIf(fields, "open", route.open, route.openTeam.value());
    setFieldIf(fields, "idempotent", route.idempotent, "true");
    setFieldIf(fields, "startOnce", route.startOnce, "true");
    setFieldIf(fields, "allAtOnce", route.allAtOnce, "true");
    setFieldIf(fields, "deadline", route.deadline > Duration(0), formatDuration(route.deadline));
    setResources(fields, "demand", route.demand);
    if (route.objective) {
        constexpr double hundredPercent = 100000.0; // 100 % in thousandths of a percent.
        fields["objective.wait"] = formatDuration(route.objective->targetWait);
        fields["objective.share"] = percentFormat().format(std::llround(route.objective->share * hundredPercent));
        fields["objective.window"] = formatDuration(route.objective->window);
    }
    return fields;
}

Fields fieldsOf(const Pool &pool)
{
    Fields fields{{"vms", pool.vmGroup}, {"power", pool.power == PowerSource::Generator ? "generator" : "grid"}};
    for (const TeamId &team : pool.teams) {
        fields["team " + team.value()] = "may use it";
    }
    return fields;
}

Fields fieldsOf(const Team &team)
{
    constexpr double thousandthsPerUnit = 1000.0;
    Fields fields{{"workspace", team.workspace.value()}, {"share", weightFormat().format(std::llround(team.share * thousandthsPerUnit))}};
    setResources(fields, "limit", team.limit);
    return fields;
}

Entries entriesOf(const std::vector<Route> &routes)
{
    Entries entries;
    for (const Route &route : routes) {
        entries["route " + route.name.value()] = fieldsOf(route);
    }
    return entries;
}

Entries entriesOf(const std::vector<Pool> &pools)
{
    Entries entries;
    for (const Pool &pool : pools) {
        entries["pool " + pool.name.value()] = fieldsOf(pool);
    }
    return entries;
}

Entries entriesOf(const std::vector<Team> &teams)
{
    Entries entries;
    for (const Team &team : teams) {
        entries["team " + team.id.value()] = fieldsOf(team);
    }
    return entries;
}

std::string valueOf(const Fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

void diffFields(const std::string &entry, const Fields &before, const Fields &after, std::vector<TableChange> &changes)
{
    std::set<std::string> names;
    for (const auto &[name, value] : before) {
        names.insert(name);
    }
    for (const auto &[name, value] : after) {
        names.insert(name);
    }
    for (const std::string &name : names) {
        const std::string old = valueOf(before, name);
        const std::string current = valueOf(after, name);
        if (old != current) {
            changes.push_back(TableChange{TableChange::Kind::Changed, entry, name, old, current});
        }
    }
}

void diffEntries(const Entries &before, const Entries &after, std::vector<TableChange> &changes)
{
    for (const auto &[name, fields] : before) {
        if (after.count(name) == 0) {
            changes.push_back(TableChange{TableChange::Kind::Removed, name, {}, {}, {}});
        }
    }
    for (const auto &[name, fields] : after) {
        const auto old = before.find(name);
        if (old == before.end()) {
            changes.push_back(TableChange{TableChange::Kind::Added, name, {}, {}, {}});
        }
        diffFields(name, old == before.end() ? Fields() : old->second, fields, changes);
    }
}

} // namespace

std::string TableChange::text() const
{
    if (kind != Kind::Changed) {
        return (kind == Kind::Added ? "+ " : "- ") + entry;
    }
    const std::string old = before.empty() ? "(not set)" : before;
    const std::string current = after.empty() ? "(not set)" : after;
    return "~ " + entry + ": " + field + " " + old + " -> " + current;
}

std::vector<TableChange> diffTables(const Tables &before, const Tables &after)
{
    std::vector<TableChange> changes;
    diffEntries(entriesOf(before.routes()), entriesOf(after.routes()), changes);
    diffEntries(entriesOf(before.pools()), entriesOf(after.pools()), changes);
    diffEntries(entriesOf(before.teams()), entriesOf(after.teams()), changes);
    return changes;
}

std::string diffText(const std::vector<TableChange> &changes)
{
    if (changes.empty()) {
        return "no changes\n";
    }
    std::string text;
    for (const TableChange &change : changes) {
        text += change.text() + "\n";
    }
    return text;
}

} // namespace KingCupLadder
