// Printing, and tolerant access to members of answers.
#include "context.h"

namespace KingCupLadder::Ctl {

ExitCode Context::fail(const Failure &failure) const
{
    world.err << "error: " << failure.message << "; " << failure.remedy << "\n";
    return failure.code;
}

void Context::note(const std::string &text) const
{
    world.err << text << "\n";
}

void Context::print(const Json &whole, const Json &rows, const std::vector<std::string> &columns) const
{
    if (format == OutputFormat::Table) {
        printTable(world.out, rows, columns);
    } else {
        printStructured(world.out, whole, format);
    }
}

std::string textMember(const Json &object, const std::string &name)
{
    const bool present = object.is_object() && object.contains(name) && object.at(name).is_string();
    return present ? object.at(name).get<std::string>() : "";
}

double numberMember(const Json &object, const std::string &name, double fallback)
{
    const bool present = object.is_object() && object.contains(name) && object.at(name).is_number();
    return present ? object.at(name).get<double>() : fallback;
}

Json listMember(const Json &object, const std::string &name)
{
    const bool present = object.is_object() && object.contains(name) && object.at(name).is_array();
    return present ? object.at(name) : Json::array();
}

} // namespace KingCupLadder::Ctl
