#include "bench/Plot.h"

#include "bench/Statistics.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace amaranthspur::bench {
namespace {

constexpr Duration BucketLength = milliseconds(200);
constexpr double Width = 900;
constexpr double PanelHeight = 130;
constexpr double Left = 70;
constexpr double Top = 30;
constexpr double PanelGap = 40;
constexpr int PanelsPerRun = 2;

/// The operations that were answered in one interval of BucketLength.
struct Bucket {
  double Acknowledged = 0;
  double Refused = 0;
  std::vector<double> LatenciesMs;
};

/// One line of a panel.
struct Line {
  const char *Name;
  const char *Colour;
  std::vector<double> Values;
};

/// Escapes \p Text for use in XML character data.
std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char C : Text) {
    if (C == '<')
      Out += "&lt;";
    else if (C == '&')
      Out += "&amp;";
    else
      Out += C;
  }
  return Out;
}

std::vector<Bucket> bucketsOf(const PlotRun &Run) {
  std::vector<Bucket> Buckets(1);
  for (const Operation &Op : Run.Operations) {
    if (Op.Answered < Run.Start)
      continue;
    const auto Index =
        static_cast<std::size_t>((Op.Answered - Run.Start) / BucketLength);
    if (Index >= Buckets.size())
      Buckets.resize(Index + 1);
    if (Op.Outcome == OperationOutcome::Acknowledged) {
      ++Buckets[Index].Acknowledged;
      Buckets[Index].LatenciesMs.push_back(
          toMilliseconds(Op.Answered - Op.Intended));
    } else {
      ++Buckets[Index].Refused;
    }
  }
  return Buckets;
}

/// Draws one panel with its lines and marks; its top edge is at \p Y.
void drawPanel(std::ostream &Out, double Y, const std::string &Title,
               const std::vector<Line> &Lines, const PlotRun &Run) {
  double Highest = 1;
  std::size_t Count = 2;
  for (const Line &L : Lines) {
    Count = std::max(Count, L.Values.size());
    for (const double Value : L.Values)
      Highest = std::max(Highest, Value);
  }
  const double StepX = Width / static_cast<double>(Count - 1);
  Out << "<text x='" << Left << "' y='" << Y - 8 << "'>" << escaped(Title)
      << "</text><rect x='" << Left << "' y='" << Y << "' width='" << Width
      << "' height='" << PanelHeight << "' fill='none' stroke='#999'/>"
      << "<text x='4' y='" << Y + 10 << "'>" << Highest << "</text>"
      << "<text x='" << Left + Width - 40 << "' y='" << Y + PanelHeight + 14
      << "'>"
      << toMilliseconds(BucketLength) * static_cast<double>(Count) / 1000
      << " s</text>\n";
  double LegendX = Left + 340;
  for (const Line &L : Lines) {
    Out << "<polyline fill='none' stroke='" << L.Colour << "' points='";
    for (std::size_t I = 0; I < L.Values.size(); ++I)
      Out << Left + StepX * static_cast<double>(I) << ','
          << Y + PanelHeight - PanelHeight * L.Values[I] / Highest << ' ';
    Out << "'/><text x='" << LegendX << "' y='" << Y - 8 << "' fill='"
        << L.Colour << "'>" << L.Name << "</text>\n";
    LegendX += 130;
  }
  for (const PlotMark &Mark : Run.Marks) {
    const double X = Left + StepX * (toMilliseconds(Mark.At - Run.Start) /
                                     toMilliseconds(BucketLength));
    Out << "<line x1='" << X << "' x2='" << X << "' y1='" << Y << "' y2='"
        << Y + PanelHeight << "' stroke='#c60' stroke-dasharray='3'><title>"
        << escaped(Mark.Text) << "</title></line>\n";
  }
}

} // namespace

std::string drawSvg(const std::vector<PlotRun> &Runs) {
  std::ostringstream Out;
  const double Height = Top + static_cast<double>(Runs.size() * PanelsPerRun) *
                                  (PanelHeight + PanelGap);
  Out << std::fixed << std::setprecision(1)
      << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width + 2 * Left
      << "' height='" << Height << "' font-family='sans-serif' font-size='11'>"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  double Y = Top;
  for (const PlotRun &Run : Runs) {
    const std::vector<Bucket> Buckets = bucketsOf(Run);
    const double PerSecond = 1000 / toMilliseconds(BucketLength);
    Line Acknowledged{"acknowledged", "#06c", {}};
    Line Refused{"refused or unknown", "#c00", {}};
    Line Median{"p50", "#06c", {}};
    Line High{"p99", "#c00", {}};
    for (const Bucket &B : Buckets) {
      Acknowledged.Values.push_back(B.Acknowledged * PerSecond);
      Refused.Values.push_back(B.Refused * PerSecond);
      Median.Values.push_back(quantile(B.LatenciesMs, 0.5));
      High.Values.push_back(quantile(B.LatenciesMs, 0.99));
    }
    drawPanel(Out, Y, Run.Title + ": operations per second",
              {Acknowledged, Refused}, Run);
    Y += PanelHeight + PanelGap;
    drawPanel(Out, Y, Run.Title + ": latency in ms", {Median, High}, Run);
    Y += PanelHeight + PanelGap;
  }
  Out << "</svg>\n";
  return Out.str();
}

} // namespace amaranthspur::bench
