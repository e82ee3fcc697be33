"""One measured figure beside its baseline."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """Hold a measure with our figure, the baseline's and the unit."""

    measure: str
    ours: float
    baseline: float
    unit: str

    def line(self) -> str:
        """Return the figure as one printable line."""
        ratio = self.ours / self.baseline if self.baseline else float('nan')
        return (
            f'measure={self.measure} ours={self.ours:.6g} '
            f'baseline={self.baseline:.6g} ratio={ratio:.4g} unit={self.unit}'
        )
