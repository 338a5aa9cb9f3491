// Compares routing policies, and least_cost with each mechanism disabled, in
// virtual time over several seeds. Prints a table and, on request, a plot, and
// writes CSV.

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "tools/experiment_limits.h"
#include "tools/experiment_setup.h"
#include "tools/simulation.h"

namespace anvilloom {

namespace {

using run_function = experiment_result (*)(const experiment_setup&,
                                           const simulation_features&,
                                           std::uint64_t);

template <route_policy Policy>
experiment_result RunOnce(const experiment_setup& setup,
                          const simulation_features& features,
                          std::uint64_t seed) {
  return simulation<Policy>(setup, features, seed).Run();
}

// One row of the table: a policy and the enabled features.
struct experiment_variant {
  std::string_view name;
  run_function run;
  simulation_features features;
  bool baseline = false;
};

std::vector<experiment_variant> MakeVariants() {
  const simulation_features all;
  simulation_features no_admission;
  no_admission.admission = false;
  no_admission.reclaim_plan = false;
  simulation_features only_admission;
  only_admission.reclaim_plan = false;
  const run_function chosen = RunOnce<least_cost>;
  std::vector<experiment_variant> variants = {
      {"round_robin", RunOnce<round_robin>, no_admission, true},
      {"least_outstanding", RunOnce<least_outstanding>, no_admission, true},
      {"prefix_hash", RunOnce<prefix_hash>, no_admission, true},
      {"least_outstanding+admission", RunOnce<least_outstanding>,
       only_admission, true},
      {"  and reclaim plan", RunOnce<least_outstanding>, all},
      {"least_cost", chosen, all},
  };
  const auto AddAblation = [&](std::string_view name, auto disable) {
    simulation_features features;
    disable(features);
    variants.push_back({name, chosen, features});
  };
  AddAblation("  without admission",
              [](auto& features) { features.admission = false; });
  AddAblation("  without reclaim plan",
              [](auto& features) { features.reclaim_plan = false; });
  AddAblation("  without price",
              [](auto& features) { features.cost.price = false; });
  AddAblation("  without locality",
              [](auto& features) { features.cost.locality = false; });
  AddAblation("  without cache events",
              [](auto& features) { features.cache_events = false; });
  AddAblation("  without load correction",
              [](auto& features) { features.cost.load_correction = false; });
  AddAblation("  without batching",
              [](auto& features) { features.cost.batching = false; });
  AddAblation("  without reclaim risk",
              [](auto& features) { features.cost.reclaim_risk = false; });
  AddAblation("  without priorities",
              [](auto& features) { features.cost.priorities = false; });
  return variants;
}

double Quantile(std::vector<float>& values, double probability) {
  if (values.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(
      probability * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + static_cast<long>(at));
  return values[at];
}

// Returns the minimum over the workspaces of the tokens served as a share of
// the workspace's fair share. Fair shares divide all served tokens max-min
// fairly by weight and are capped by the tokens requested.
double MinFairShare(const experiment_result& result,
                    const experiment_setup& setup) {
  const std::size_t count = result.workspaces.size();
  std::vector<double> fair(count, 0);
  std::vector<bool> satisfied(count, false);
  double remaining = 0;
  for (const workspace_result& served : result.workspaces) {
    remaining += static_cast<double>(served.tokens_served);
  }
  for (std::size_t round = 0; round < count && remaining > 0; ++round) {
    double weight = 0;
    for (std::size_t i = 0; i < count; ++i) {
      weight += satisfied[i] ? 0 : setup.declared.workspaces[i].weight;
    }
    if (weight == 0) {
      break;
    }
    const double unit = remaining / weight;
    for (std::size_t i = 0; i < count; ++i) {
      if (satisfied[i]) {
        continue;
      }
      const double requested =
          static_cast<double>(result.workspaces[i].tokens_requested);
      const double granted = std::min(
          requested - fair[i], unit * setup.declared.workspaces[i].weight);
      fair[i] += granted;
      remaining -= granted;
      satisfied[i] = fair[i] >= requested * 0.999;
    }
  }
  double worst = 1e9;
  for (std::size_t i = 0; i < count; ++i) {
    if (fair[i] > 0) {
      worst = std::min(
          worst,
          static_cast<double>(result.workspaces[i].tokens_served) / fair[i]);
    }
  }
  return worst;
}

// Columns of the table. The first two are costs per million tokens that met
// their latency targets.
constexpr std::array<std::string_view, 12> kColumns = {
    "busy_cost",  "paid_cost", "in_target%", "refused%",
    "recomputed", "prefill%",  "ft_p50ms",   "ft_p95ms",
    "ft_p99ms",   "tbt_p50ms", "tbt_p95ms",  "share_min"};
using result_row = std::array<double, kColumns.size()>;

result_row Summarize(experiment_result result, const experiment_setup& setup) {
  const double in_target =
      std::max(1.0, static_cast<double>(result.tokens_in_target));
  const auto Percent = [](std::uint64_t part, std::uint64_t whole) {
    return whole == 0
               ? 0.0
               : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
  };
  return {result.busy_cost / in_target,
          result.paid_cost / in_target,
          Percent(result.requests_in_target, result.requests),
          Percent(result.refused, result.requests),
          static_cast<double>(result.recomputed_tokens),
          Percent(result.prefilled_tokens, result.prompt_tokens),
          Quantile(result.first_token_ms, 0.5),
          Quantile(result.first_token_ms, 0.95),
          Quantile(result.first_token_ms, 0.99),
          Quantile(result.interval_ms, 0.5),
          Quantile(result.interval_ms, 0.95),
          MinFairShare(result, setup)};
}

// The rows and results of one variant, one for each seed.
struct variant_rows {
  std::vector<result_row> rows;
  std::vector<experiment_result> results;

  double Mean(std::size_t column) const {
    double sum = 0;
    for (const result_row& row : rows) {
      sum += row[column];
    }
    return sum / static_cast<double>(rows.size());
  }
  double Deviation(std::size_t column) const {
    const double mean = Mean(column);
    double sum = 0;
    for (const result_row& row : rows) {
      sum += (row[column] - mean) * (row[column] - mean);
    }
    return std::sqrt(
        sum / static_cast<double>(std::max<std::size_t>(rows.size() - 1, 1)));
  }
};

// Runs every variant with every seed, on `jobs` threads.
std::vector<variant_rows> RunAll(const experiment_setup& setup,
                                 std::span<const experiment_variant> variants,
                                 std::uint32_t seeds,
                                 std::uint32_t jobs) {
  std::vector<variant_rows> all(variants.size());
  for (variant_rows& rows : all) {
    rows.rows.resize(seeds);
    rows.results.resize(seeds);
  }
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(jobs);
  for (std::uint32_t job = 0; job < jobs; ++job) {
    threads.emplace_back([&] {
      for (std::size_t task = next++; task < variants.size() * seeds;
           task = next++) {
        const std::size_t variant = task / seeds;
        const std::size_t seed = task % seeds;
        experiment_result result =
            variants[variant].run(setup, variants[variant].features, seed + 1);
        all[variant].rows[seed] = Summarize(result, setup);
        result.first_token_ms.clear();
        result.interval_ms.clear();
        all[variant].results[seed] = std::move(result);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return all;
}

void PrintTable(std::span<const experiment_variant> variants,
                std::span<const variant_rows> rows) {
  std::cout << std::left << std::setw(28) << "" << std::right;
  for (const std::string_view column : kColumns) {
    std::cout << std::setw(12) << column;
  }
  std::cout << std::setw(10) << "+-cost" << '\n' << std::fixed;
  for (std::size_t i = 0; i < variants.size(); ++i) {
    std::cout << std::left << std::setw(28) << variants[i].name << std::right;
    for (std::size_t column = 0; column < kColumns.size(); ++column) {
      const int digits = column < 2 || column == 11 ? 3 : 1;
      std::cout << std::setw(12) << std::setprecision(digits)
                << rows[i].Mean(column);
    }
    std::cout << std::setw(10) << std::setprecision(3) << rows[i].Deviation(0)
              << '\n';
  }
}

// Prints the refused requests of each workspace, in percent of its requests.
void PrintRefusals(std::span<const experiment_variant> variants,
                   std::span<const variant_rows> rows) {
  std::cout << "refused by workspace, %:";
  for (std::size_t i = 0; i < variants.size(); ++i) {
    if (variants[i].name != "least_cost") {
      continue;
    }
    for (std::size_t w = 0; w < rows[i].results[0].workspaces.size(); ++w) {
      double requested = 0;
      double refused = 0;
      for (const experiment_result& result : rows[i].results) {
        requested += static_cast<double>(result.workspaces[w].requested);
        refused += static_cast<double>(result.workspaces[w].refused);
      }
      std::cout << ' ' << std::setprecision(1) << 100 * refused / requested;
    }
  }
  std::cout << '\n';
}

// Compares least_cost with the best baseline in each column.
void PrintBaselineComparison(std::span<const experiment_variant> variants,
                             std::span<const variant_rows> rows,
                             bool compare_recomputed) {
  const auto Best = [&](std::size_t column) {
    double best = 1e300;
    for (std::size_t i = 0; i < variants.size(); ++i) {
      if (variants[i].baseline) {
        best = std::min(best, rows[i].Mean(column));
      }
    }
    return best;
  };
  for (std::size_t i = 0; i < variants.size(); ++i) {
    if (variants[i].name != "least_cost") {
      continue;
    }
    const auto Lower = [&](std::size_t column) {
      return 100 * (1 - rows[i].Mean(column) / Best(column));
    };
    std::cout << std::setprecision(1) << "against the best baseline: busy cost "
              << Lower(0) << "% lower, paid cost " << Lower(1) << "% lower";
    if (compare_recomputed) {
      std::cout << ", recomputed tokens " << Lower(4) << "% lower";
    }
    std::cout << '\n';
  }
}

void WriteCsv(std::ostream& out,
              std::string_view user,
              std::string_view scenario,
              std::span<const experiment_variant> variants,
              std::span<const variant_rows> rows) {
  for (std::size_t i = 0; i < variants.size(); ++i) {
    for (std::size_t seed = 0; seed < rows[i].rows.size(); ++seed) {
      out << user << ',' << scenario << ',' << variants[i].name << ','
          << seed + 1;
      for (const double value : rows[i].rows[seed]) {
        out << ',' << value;
      }
      out << '\n';
    }
  }
}

// Prints the mean busy cost as bars, one character for each 2% of the maximum.
void PrintPlot(std::span<const experiment_variant> variants,
               std::span<const variant_rows> rows) {
  double longest = 0;
  for (const variant_rows& row : rows) {
    longest = std::max(longest, row.Mean(0));
  }
  for (std::size_t i = 0; i < variants.size(); ++i) {
    const auto length =
        static_cast<std::size_t>(50 * rows[i].Mean(0) / longest);
    std::cout << std::left << std::setw(28) << variants[i].name
              << std::string(length, '#') << '\n';
  }
}

int Main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint32_t seeds = 10;
  std::uint32_t jobs = 3;
  std::string csv;
  std::string only;
  options::options_description known("Options");
  known.add_options()("help", "Prints this text.")(
      "seeds", options::value(&seeds),
      "Number of seeds for each row, 10 by default.")(
      "jobs", options::value(&jobs), "Number of threads, 3 by default.")(
      "csv", options::value(&csv),
      "CSV file to write, with one line for each run.")(
      "only", options::value(&only),
      "Runs only this scenario, for example manalee/day or limits.")(
      "plot", "Prints the busy cost as bars.");
  options::variables_map parsed;
  options::store(options::parse_command_line(argc, argv, known), parsed);
  options::notify(parsed);
  if (parsed.contains("help")) {
    std::cout << known;
    return 0;
  }
  std::ofstream csv_file;
  if (!csv.empty()) {
    csv_file.open(csv);
    csv_file << "user,scenario,variant,seed";
    for (const std::string_view column : kColumns) {
      csv_file << ',' << column;
    }
    csv_file << '\n';
  }
  const std::vector<experiment_variant> variants = MakeVariants();
  for (const auto user :
       {experiment_user::kManalee, experiment_user::kPuentes}) {
    for (const auto scenario :
         {experiment_scenario::kDay, experiment_scenario::kOverload,
          experiment_scenario::kReclaimWave, experiment_scenario::kLag}) {
      const std::string title =
          std::string(Name(user)) + "/" + std::string(Name(scenario));
      if (!only.empty() && only != title) {
        continue;
      }
      const experiment_setup setup = MakeSetup(user, scenario);
      const auto rows = RunAll(setup, variants, seeds, jobs);
      std::cout << "\n== " << title << ", " << seeds << " seeds\n";
      PrintTable(variants, rows);
      PrintRefusals(variants, rows);
      PrintBaselineComparison(variants, rows,
                              scenario == experiment_scenario::kReclaimWave);
      if (parsed.contains("plot")) {
        PrintPlot(variants, rows);
      }
      WriteCsv(csv_file, Name(user), Name(scenario), variants, rows);
    }
  }
  if (only.empty() || only == "limits") {
    PrintLimits(std::cout, seeds);
  }
  return 0;
}

}  // namespace

}  // namespace anvilloom

int main(int argc, char** argv) {
  try {
    return anvilloom::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "experiment: " << error.what() << '\n';
    return 1;
  }
}
