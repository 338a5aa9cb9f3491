// Defines upstream_load_figures, what an upstream says about its own load.
#ifndef CONTRACTS_UPSTREAM_LOAD_FIGURES_H_
#define CONTRACTS_UPSTREAM_LOAD_FIGURES_H_

#include <cstdint>

namespace anvilloom {

struct upstream_load_figures {
  // Requests that it runs, those that wait there, and the requests that it runs
  // at most at the same time; 0 slots if it does not say so.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes there at this moment, in thousandths of the usual time;
  // 0 if it does not say so.
  std::uint32_t slowdown_permille = 0;

  friend bool operator==(const upstream_load_figures&,
                         const upstream_load_figures&) = default;
};

}  // namespace anvilloom

#endif  // CONTRACTS_UPSTREAM_LOAD_FIGURES_H_
