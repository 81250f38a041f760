// Line charts as SVG text, without scripts or fonts from elsewhere.
#pragma once

#include <string>
#include <vector>

namespace thornwick::experiments {

struct PlotPoint {
  double x = 0, y = 0, half = 0;  // half: of an interval drawn around y; 0: none
};
struct Curve {
  std::string name;
  std::vector<PlotPoint> points;
};
struct Plot {
  std::string title, x_name, y_name;
  bool x_log = false, y_log = false;  // only values above 0 are drawn then
  std::vector<Curve> curves;
  bool legend = true;
};

// Text for HTML, where it could mean something.
std::string escaped(const std::string& text);
std::string svg(const Plot& plot);

}  // namespace thornwick::experiments
