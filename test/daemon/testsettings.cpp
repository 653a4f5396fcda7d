#include "daemon/settings.h"
#include "textmutation.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const std::string digest(64, 'a');
const std::string minimalSettings = "daemon: d1\nfailureDomain: f1\nhttp: {address: 127.0.0.1:1}\npeers: {address: 127.0.0.1:2, seeds: []}\n"
                                    "platform: {address: 127.0.0.1:3}\noperator: {keyDigest: "
    + digest + "}\n";

// Uses every element of the YAML syntax. yaml-cpp allocates static tables when it first parses an element of the syntax; parsing this text before
// the first test keeps CppUTest from reporting the tables as leaks.
const std::string everySyntax =
    "%YAML 1.2\n---\n&a x: 'q''q'\ny: \"d\\n\\x41\"\n? k\n: !t *a\nl: [1, {z: ~, \"q\":1, ? k : v, ? [w]: 'x':1}]\ns: |+\n  t\nf: >-2\n   t\n# c\n- @\n";

std::size_t parseEverySyntax()
{
    std::mt19937_64 random(16);
    std::size_t problems = parseSettings(everySyntax).problems.size();
    for (int i = 0; i < 500; ++i) {
        problems += parseSettings(mutated(everySyntax, random)).problems.size();
    }
    return problems;
}

[[maybe_unused]] const std::size_t problemsOfEverySyntax = parseEverySyntax();

/// Returns the problems, one per line.
std::string problemsOf(const std::string &yaml)
{
    std::string text;
    for (const SettingsProblem &problem : parseSettings(yaml).problems) {
        text += problem.text("f") + "\n";
    }
    return text;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// Returns the path of an example. __FILE__ may be relative to the build directory, where scripts/test runs the tests.
std::string examplePath(const std::string &name)
{
    const std::string here = __FILE__;
    return here.substr(0, here.rfind("/test/")) + "/examples/" + name + "/daemon.yaml";
}

} // namespace

TEST_GROUP(Settings){};

// Guards against rejecting a file with only the required keys.
TEST(Settings, AcceptsTheRequiredKeysAlone)
{
    STRCMP_EQUAL("", problemsOf(minimalSettings).c_str());
}

// Guards against an invalid example, which users may copy.
TEST(Settings, AcceptsTheExampleOfNuitMusee)
{
    CHECK_TRUE(readSettings(examplePath("nuitmusee")).settings.has_value());
}

// Guards against an invalid example, which users may copy.
TEST(Settings, AcceptsTheExampleOfHardangerfjord)
{
    CHECK_TRUE(readSettings(examplePath("hardangerfjord")).settings.has_value());
}

// Guards against ignoring a misspelled key, so that its setting silently keeps the default.
TEST(Settings, NamesTheLineOfAnUnknownKey)
{
    CHECK_TRUE(contains(problemsOf(minimalSettings + "timeouts:\n  stroe: 1s\n"), "f:8: 'timeouts.stroe' is not a setting; use one of: "));
}

// Guards against accepting "1500", which could mean seconds or milliseconds.
TEST(Settings, RejectsADurationWithoutUnit)
{
    CHECK_TRUE(contains(problemsOf(minimalSettings + "timeouts: {store: 1500}\n"), "'1500' is not a duration"));
}

// Guards against accepting a list where a single value is expected.
TEST(Settings, RejectsAValueOfTheWrongType)
{
    CHECK_TRUE(contains(problemsOf(minimalSettings + "timeouts: {store: [1s]}\n"), "must be a single value"));
}

// Guards against accepting host names, whose lookup needs a service that may be down.
TEST(Settings, RejectsHostNames)
{
    CHECK_TRUE(contains(problemsOf("platform: {address: platform.example:80}\n"), "is not an address"));
}

// Guards against a lease that expires before a lost renewal can be retried.
TEST(Settings, RejectsValuesThatContradictEachOther)
{
    CHECK_TRUE(contains(problemsOf(minimalSettings + "timeouts: {leaseTerm: 2s, leaseMargin: 500ms}\n"), "a lease would end before"));
}

// Guards against settings that pass validation but that the core refuses at startup: twice the sum of the store timeout and the
// scan interval of 1s is above the lease term.
TEST(Settings, RejectsALeaseTermThatTheCoreRefuses)
{
    CHECK_TRUE(contains(problemsOf(minimalSettings + "timeouts: {leaseTerm: 3s, leaseMargin: 1s, store: 700ms}\n"), "read too rarely"));
}

// Guards against silently choosing one of two values for a key.
TEST(Settings, RejectsAKeyThatIsSetTwice)
{
    CHECK_TRUE(contains(problemsOf(minimalSettings + "daemon: d2\n"), "'daemon' is set twice"));
}

// Guards against reporting only one problem at a time.
TEST(Settings, ReportsAllProblemsAtOnce)
{
    // An invalid name, an unknown key, a size without a unit and six missing keys.
    LONGS_EQUAL(9, parseSettings("daemon: 'a b'\nx: 1\nhttp: {maxBody: 8}\n").problems.size());
}

// Guards against logging an operator key that was set in place of its digest.
TEST(Settings, DoesNotRepeatAWrongDigest)
{
    CHECK_FALSE(contains(problemsOf("operator: {keyDigest: my-secret-key}\n"), "my-secret-key"));
}

// Guards against connections that are encrypted on one side only.
TEST(Settings, RejectsHalfAKeyPair)
{
    const std::string yaml = "peers: {address: 127.0.0.1:2, seeds: [], curve: {publicKey: '" + std::string(40, 'x') + "'}}\n";
    CHECK_TRUE(contains(problemsOf(yaml), "only one of publicKey and secretKey"));
}

// Guards against reading an inaccessible file as an empty one.
TEST(Settings, ReportsAMissingFile)
{
    CHECK_TRUE(contains(readSettings("/nonexistent.yaml").problems.at(0).message, "can't be read"));
}

// Guards against crashes and rejections without a message on malformed files; seed 15.
TEST(Settings, ToleratesMutatedFiles)
{
    std::mt19937_64 random(15);
    const std::string text = minimalSettings + "timeouts: {store: 1s, peer: 3s}\nlog: {default: info, peers: debug}\n";
    for (int i = 0; i < 3000; ++i) {
        const SettingsResult check = parseSettings(mutated(text, random));
        CHECK_TRUE(check.settings.has_value() == check.problems.empty());
        for (const SettingsProblem &problem : check.problems) {
            CHECK_FALSE(problem.message.empty() || problem.remedy.empty());
        }
    }
}

// Guards against bounds for callers that do not follow the settings, or that a mistake in them removes.
TEST(Settings, ReadsTheLimitsOfTheProcess)
{
    const auto settings = parseSettings(minimalSettings + "limits: {memory: 120MiB, descriptors: 3075}\n").settings;
    CHECK_TRUE(settings.has_value());
    LONGS_EQUAL(120 * 1024 * 1024, settings->memoryLimit);
    LONGS_EQUAL(3075, settings->descriptorLimit);
    CHECK_TRUE(contains(problemsOf(minimalSettings + "limits: {memory: 1MiB}\n"), "limits.memory"));
    CHECK_TRUE(contains(problemsOf(minimalSettings + "limits: {descriptors: many}\n"), "limits.descriptors"));
}
