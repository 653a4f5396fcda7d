// Output of commands and access to optional members of JSON responses.
#include "context.h"

namespace KingCupLadder::Ctl {

ExitCode CommandContext::fail(const Failure &failure) const
{
    dependencies.err << "error: " << failure.message << "; " << failure.remedy << "\n";
    return failure.code;
}

void CommandContext::note(const std::string &text) const
{
    dependencies.err << text << "\n";
}

void CommandContext::print(const Json &structured, const Json &rows, const std::vector<std::string> &columns) const
{
    if (format == OutputFormat::Table) {
        printTable(dependencies.out, rows, columns);
    } else {
        printStructured(dependencies.out, structured, format);
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
