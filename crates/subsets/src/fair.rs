//! Fair share of each replica: proportional to weight, at most 1.

/// Fraction of the routers' total weight that should pick each replica if every router picks `picks` of them. It is
/// proportional to the replica's weight and at most 1; the excess of heavy replicas is divided among the others.
pub(crate) fn fair_shares(weights: &[f64], picks: usize) -> Vec<f64> {
    let mut shares = vec![0.0; weights.len()];
    let mut open: Vec<usize> = (0..weights.len()).collect();
    let mut remaining = picks.min(weights.len()) as f64;
    loop {
        let sum: f64 = open.iter().map(|i| weights[*i]).sum();
        let reaches_one = |i: &usize| weights[*i] * remaining >= sum;
        if !open.iter().any(reaches_one) || open.is_empty() {
            open.iter().for_each(|i| shares[*i] = weights[*i] * remaining / sum);
            return shares;
        }
        let capped: Vec<usize> = open.iter().copied().filter(reaches_one).collect();
        open.retain(|i| !capped.contains(i));
        remaining -= capped.len() as f64;
        capped.into_iter().for_each(|i| shares[i] = 1.0);
    }
}
