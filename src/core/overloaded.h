// Combines lambdas into one visitor for std::visit.
#pragma once

namespace KingCupLadder {

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace KingCupLadder
