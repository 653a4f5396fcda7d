// Random mutations of texts from a seeded generator, for fuzz tests of decoders.
#pragma once

#include <random>
#include <string>

namespace KingCupLadder {

/// Replaces, removes, duplicates or inserts bytes in up to four places.
inline std::string mutated(std::string text, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        const std::size_t length = 1 + random() % 8;
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text.insert(at, std::string(length, "{}[]\":,-0x\n \xff"[random() % 13]));
            break;
        }
    }
    return text;
}

} // namespace KingCupLadder
